//! Compressed package in which entries send each other a version: its head with either the differences that lead to
//! the version or the whole body.
//!
//! A package is identified by the digest of its bytes. An entry that has received a part of a package can continue
//! the transfer from any peer that holds a package with the same digest.

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

/// Maximum size of an unpacked package, in bytes.
const UNPACKED_BYTES_MAX: u64 = 64 * 1024 * 1024;

/// Compressed package of a version, for a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BundlePackage {
    version: BundleVersion,
    digest: Digest,
    bytes: Vec<u8>,
}

/// Decoded package from a peer. Its content is not verified.
#[derive(Debug, Clone, PartialEq)]
pub struct UnpackedPackage {
    /// Head of the version.
    pub head: BundleHead,
    /// Differences or body of the version.
    pub content: PackageContent,
}

/// Differences or body from which a receiver builds a version.
#[derive(Debug, Clone, PartialEq)]
pub enum PackageContent {
    /// Consecutive differences, starting from the receiver's version.
    Differences(Vec<BundleDelta>),
    /// The whole body of the version.
    Whole(CanonicalBundle),
}

/// Reason for which a package cannot be created or unpacked.
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
    /// Creates a package with the whole body.
    ///
    /// # Errors
    ///
    /// Returns [`PackageError::Pack`] if encoding fails.
    pub fn with_whole(head: &BundleHead, body: &CanonicalBundle) -> Result<Self, PackageError> {
        Self::pack(&PackedForm {
            head,
            differences: None,
            whole: Some(body.bundle()),
        })
    }

    /// Creates a package with the consecutive differences that lead to the version of the head.
    ///
    /// # Errors
    ///
    /// Returns [`PackageError::Pack`] if encoding fails.
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
        // The fastest compression level already removes the repetition between routes.
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

    /// Unpacks the bytes of a package from a peer.
    ///
    /// # Errors
    ///
    /// Returns [`PackageError`] if the bytes are not a package or exceed the maximum unpacked size.
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

    /// Version that the package leads to.
    pub fn version(&self) -> BundleVersion {
        self.version
    }

    /// Digest of the package bytes, which identifies the package.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// The compressed bytes of the package.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }
}
