//! Index of the organisations of a version, by key and by name.

use pinhaven_bundle::Organisation;
use pinhaven_types::ApiKey;
use pinhaven_types::KeyDigest;
use pinhaven_types::OrganisationName;
use std::collections::HashMap;
use std::sync::Arc;

/// The organisations of a version.
#[derive(Debug, Default)]
pub(crate) struct OrganisationIndex {
    by_key: HashMap<KeyDigest, Arc<Organisation>>,
    by_name: HashMap<OrganisationName, Arc<Organisation>>,
}

impl OrganisationIndex {
    pub(crate) fn new(organisations: &[Organisation]) -> Self {
        let mut index = Self::default();
        for organisation in organisations {
            let organisation = Arc::new(organisation.clone());
            for digest in &organisation.key_digests {
                index.by_key.insert(*digest, Arc::clone(&organisation));
            }
            let name = organisation.name.clone();
            index.by_name.insert(name, organisation);
        }
        index
    }

    /// The organisation that holds a key.
    pub(crate) fn holder(&self, key: &ApiKey) -> Option<&Arc<Organisation>> {
        self.by_key.get(&key.digest())
    }

    /// All organisations.
    pub(crate) fn all(&self) -> impl Iterator<Item = &Arc<Organisation>> {
        self.by_name.values()
    }

    /// The organisation with a name.
    pub(crate) fn named(&self, name: &OrganisationName) -> Option<&Arc<Organisation>> {
        self.by_name.get(name)
    }
}
