//! Names of services, failure domains, instances, routes and signers, and ids of targets and operations.

use displaydoc::Display as DisplayDoc;
use serde::Deserialize;
use serde::Serialize;
use std::fmt;
use std::str::FromStr;

/// Maximum length of a name in characters.
const NAME_LENGTH_MAX: usize = 128;

/// Reason for which a text is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq, DisplayDoc)]
pub enum ParseNameError {
    /// a name may not be empty
    Empty,
    /// a name has at most 128 characters, this one has {0}
    TooLong(usize),
    /// {0:?} may not stand in a name; use letters, digits, '-', '_' and '.'
    BadCharacter(char),
}

impl std::error::Error for ParseNameError {}

fn check_name(text: &str) -> Result<(), ParseNameError> {
    if text.is_empty() {
        return Err(ParseNameError::Empty);
    }
    if text.len() > NAME_LENGTH_MAX {
        return Err(ParseNameError::TooLong(text.len()));
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    match text.chars().find(|&c| !allowed(c)) {
        Some(c) => Err(ParseNameError::BadCharacter(c)),
        None => Ok(()),
    }
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// The name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = ParseNameError;

            fn from_str(text: &str) -> Result<Self, ParseNameError> {
                check_name(text)?;
                Ok(Self(text.to_owned()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = ParseNameError;

            fn try_from(text: String) -> Result<Self, ParseNameError> {
                check_name(&text)?;
                Ok(Self(text))
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_type! {
    /// Name of a service.
    ServiceName
}
name_type! {
    /// Name of a failure domain.
    FailureDomain
}
name_type! {
    /// Name of a region: a group of failure domains that are near each other.
    Region
}
name_type! {
    /// Name of an entry instance, from its settings.
    InstanceId
}
name_type! {
    /// Id of one run of a target; a restarted target has another id.
    TargetId
}
name_type! {
    /// Name of a route.
    RouteName
}
name_type! {
    /// Name of an organisation whose callers share the entries with those of others.
    OrganisationName
}
name_type! {
    /// Name of the person who signs a bundle.
    SignerName
}
name_type! {
    /// Id of one write, by which the writer recognises its own write when it reads it back.
    OperationId
}

impl OperationId {
    /// Creates a random id.
    pub fn random() -> Self {
        Self(crate::Incarnation::random().to_string())
    }
}
