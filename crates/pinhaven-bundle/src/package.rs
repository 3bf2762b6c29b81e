//! A version as entries hand it to each other: its head with the differences that lead to it or its whole body,
//! compressed.
//!
//! A package is named by the digest of its bytes. Whoever holds a part of it can go on at any peer that
//! holds a package of the same name.

use crate::Bundle;
use crate::BundleDelta;
use crate::BundleHead;
use crate::CanonicalBundle;
use displaydoc::Display as DisplayDoc;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use pinhaven_types::BundleVersion;
use pinhaven_types::Digest;
use serde::Deserialize;
use serde::Serialize;
use std::io::Read as _;
use std::io::Write as _;

/// The most that a package may hold once it is unpacked, in bytes.
const UNPACKED_BYTES_MAX: u64 = 64 * 1024 * 1024;

/// A version on its way to a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BundlePackage {
    version: BundleVersion,
    digest: Digest,
    bytes: Vec<u8>,
}

/// What a peer gave. Nothing of it is verified yet.
#[derive(Debug, Clone, PartialEq)]
pub struct UnpackedPackage {
    /// The head of the version.
    pub head: BundleHead,
    /// What leads to it.
    pub content: PackageContent,
}

/// What leads to a version.
#[derive(Debug, Clone, PartialEq)]
pub enum PackageContent {
    /// The differences from the receiver's version on.
    Differences(Vec<BundleDelta>),
    /// The whole body.
    Whole(CanonicalBundle),
}

/// Why a package can't be used or made.
#[derive(Debug, DisplayDoc)]
pub enum PackageError {
    /// packing a version: {0}
    Pack(std::io::Error),
    /// unpacking a version: {0}
    Unpack(std::io::Error),
    /// unpacking a version: it has more than {0} bytes
    TooLarge(u64),
    /// reading an unpacked version: {0}
    Read(serde_json::Error),
}

impl std::error::Error for PackageError {}

#[derive(Serialize)]
struct PackedForm<'package> {
    head: &'package BundleHead,
    #[serde(skip_serializing_if = "Option::is_none")]
    differences: Option<&'package [BundleDelta]>,
    #[serde(skip_serializing_if = "Option::is_none")]
    whole: Option<&'package Bundle>,
}

#[derive(Deserialize)]
struct UnpackedForm {
    head: BundleHead,
    #[serde(default)]
    differences: Vec<BundleDelta>,
    #[serde(default)]
    whole: Option<Bundle>,
}

impl BundlePackage {
    /// A package with the whole body.
    ///
    /// # Errors
    ///
    /// [`PackageError::Pack`] when it can't be written.
    pub fn with_whole(head: &BundleHead, body: &CanonicalBundle) -> Result<Self, PackageError> {
        Self::pack(&PackedForm {
            head,
            differences: None,
            whole: Some(body.bundle()),
        })
    }

    /// A package with the differences that lead to the head's version, one after the other.
    ///
    /// # Errors
    ///
    /// [`PackageError::Pack`] when it can't be written.
    pub fn with_differences(
        head: &BundleHead,
        differences: &[BundleDelta],
    ) -> Result<Self, PackageError> {
        Self::pack(&PackedForm {
            head,
            differences: Some(differences),
            whole: None,
        })
    }

    fn pack(form: &PackedForm<'_>) -> Result<Self, PackageError> {
        // The fastest level already finds what repeats from route to route.
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        let text = serde_json::to_vec(form).map_err(|error| PackageError::Pack(error.into()))?;
        encoder.write_all(&text).map_err(PackageError::Pack)?;
        let bytes = encoder.finish().map_err(PackageError::Pack)?;
        Ok(Self {
            version: form.head.version,
            digest: Digest::of(&bytes),
            bytes,
        })
    }

    /// Unpacks what came from a peer.
    ///
    /// # Errors
    ///
    /// [`PackageError`] when it is no package.
    pub fn unpack(bytes: &[u8]) -> Result<UnpackedPackage, PackageError> {
        let mut text = Vec::new();
        let mut decoder = DeflateDecoder::new(bytes).take(UNPACKED_BYTES_MAX + 1);
        decoder
            .read_to_end(&mut text)
            .map_err(PackageError::Unpack)?;
        if text.len() as u64 > UNPACKED_BYTES_MAX {
            return Err(PackageError::TooLarge(UNPACKED_BYTES_MAX));
        }
        let form: UnpackedForm = serde_json::from_slice(&text).map_err(PackageError::Read)?;
        let content = match form.whole {
            Some(bundle) => PackageContent::Whole(CanonicalBundle::new(bundle)),
            None => PackageContent::Differences(form.differences),
        };
        Ok(UnpackedPackage {
            head: form.head,
            content,
        })
    }

    /// The version that it leads to.
    pub fn version(&self) -> BundleVersion {
        self.version
    }

    /// Its name: the digest of its bytes.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Its bytes.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }
}
