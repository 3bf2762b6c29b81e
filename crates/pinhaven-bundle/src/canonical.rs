//! Canonical form of a bundle, which is digested, signed and stored.

use crate::Bundle;
use pinhaven_types::Digest;

/// A bundle with its canonical bytes and their digest.
#[derive(Debug, Clone, PartialEq)]
pub struct CanonicalBundle {
    bundle: Bundle,
    bytes: Vec<u8>,
    digest: Digest,
}

impl CanonicalBundle {
    /// Converts a bundle to canonical form: services and organisations sorted by name, targets by
    /// address, keys by digest, without white space.
    ///
    /// # Panics
    ///
    /// Never panics, because JSON can represent every value in a bundle.
    pub fn new(mut bundle: Bundle) -> Self {
        bundle.services.sort_by(|a, b| a.name.cmp(&b.name));
        for service in &mut bundle.services {
            service.targets.sort_by_key(|target| target.address);
        }
        if let Some(organisations) = &mut bundle.organisations {
            organisations.sort_by(|a, b| a.name.cmp(&b.name));
            for organisation in organisations {
                organisation.key_digests.sort_unstable();
            }
        }
        let bytes = serde_json::to_vec(&bundle).expect("a bundle can be written as JSON");
        let digest = Digest::of(&bytes);
        Self {
            bundle,
            bytes,
            digest,
        }
    }

    /// Decodes canonical bytes.
    ///
    /// # Errors
    ///
    /// Returns the error of the decoder if the bytes are not a bundle.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, serde_json::Error> {
        let bundle = serde_json::from_slice(bytes)?;
        Ok(Self::new(bundle))
    }

    /// The bundle in canonical order.
    pub fn bundle(&self) -> &Bundle {
        &self.bundle
    }

    /// The canonical bytes.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Digest of the canonical bytes.
    pub fn digest(&self) -> Digest {
        self.digest
    }
}
