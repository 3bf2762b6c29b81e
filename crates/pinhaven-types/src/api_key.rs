//! Secret keys of organisations, and the digests by which they are recognised.
//!
//! A key is only ever held while a request is authenticated. Everything that is stored, sent or written uses the digest,
//! from which the key can't be computed.

use crate::Digest;
use displaydoc::Display as DisplayDoc;
use serde::Deserialize;
use serde::Serialize;
use std::fmt;
use std::str::FromStr;

/// Maximum length of a key in bytes.
const KEY_BYTES_MAX: usize = 512;

/// Reason for which a text is not a valid key. Contains no part of the text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DisplayDoc)]
pub enum ParseKeyError {
    /// a key may not be empty
    Empty,
    /// a key has at most 512 bytes
    TooLong,
    /// a key has only visible ASCII characters
    BadCharacter,
}

impl std::error::Error for ParseKeyError {}

/// Secret key with which a caller shows that it belongs to an organisation. Can't be displayed or serialized.
#[derive(Clone, PartialEq, Eq)]
pub struct ApiKey(String);

impl ApiKey {
    /// The digest of the key.
    pub fn digest(&self) -> KeyDigest {
        KeyDigest(Digest::of(self.0.as_bytes()))
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey(..)")
    }
}

impl FromStr for ApiKey {
    type Err = ParseKeyError;

    fn from_str(text: &str) -> Result<Self, ParseKeyError> {
        if text.is_empty() {
            return Err(ParseKeyError::Empty);
        }
        if text.len() > KEY_BYTES_MAX {
            return Err(ParseKeyError::TooLong);
        }
        if !text.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(ParseKeyError::BadCharacter);
        }
        Ok(Self(text.to_owned()))
    }
}

/// Reason for which a text is not a key digest. Contains no part of the text, which may be a key by mistake.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DisplayDoc)]
#[displaydoc("a key digest has 64 hexadecimal digits, as `pinhaven bundle key-digest` prints it")]
pub struct ParseKeyDigestError;

impl std::error::Error for ParseKeyDigestError {}

/// SHA-256 digest of an [`ApiKey`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyDigest(Digest);

impl TryFrom<String> for KeyDigest {
    type Error = ParseKeyDigestError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> String {
        digest.to_string()
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for KeyDigest {
    type Err = ParseKeyDigestError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self).map_err(|_| ParseKeyDigestError)
    }
}
