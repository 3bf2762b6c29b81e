//! Signing of bundles and verification of the signatures.
//!
//! The signature covers the version, the digest of the canonical body and the signer's name. Each
//! entry verifies the signature against the trusted signers in its own settings; the check by the command is only a
//! convenience.

use crate::CanonicalBundle;
use displaydoc::Display as DisplayDoc;
use ed25519_dalek::Signer as _;
use pinhaven_types::BundleVersion;
use pinhaven_types::Digest;
use pinhaven_types::Help;
use pinhaven_types::OperationId;
use pinhaven_types::SignerName;
use serde::Deserialize;
use serde::Serialize;
use std::fmt;
use std::str::FromStr;

/// First line of each signed statement, so that a signature over other data cannot be used as a signature of a bundle.
const SIGNATURE_CONTEXT: &str = "pinhaven bundle sign-off 1";

/// Reason for which a signature or key is not accepted.
#[derive(Debug, Clone, PartialEq, Eq, DisplayDoc)]
pub enum SignError {
    /// verifying version {version}: {signer} is not a trusted signer
    UnknownSigner {
        /// The version.
        version: BundleVersion,
        /// Name of the person who signed.
        signer: SignerName,
    },
    /// verifying version {version}: the signature is not {signer}'s over this body
    WrongSignature {
        /// The version.
        version: BundleVersion,
        /// Name of the person who is claimed to have signed.
        signer: SignerName,
    },
    /// verifying version {version}: the body's digest is {found}, {signed} was signed off
    WrongDigest {
        /// The version.
        version: BundleVersion,
        /// Digest of the body.
        found: Digest,
        /// Digest that was signed.
        signed: Digest,
    },
    /// verifying version {version}: the body says it is version {found}
    WrongVersion {
        /// The version that was signed.
        version: BundleVersion,
        /// The version in the body.
        found: BundleVersion,
    },
    /// reading a key: it is not 32 bytes in hexadecimal
    BadKey,
}

impl std::error::Error for SignError {}

impl Help for SignError {
    fn help(&self) -> &'static str {
        match self {
            Self::UnknownSigner { .. } => "add the signer to trusted_signers in the settings",
            Self::WrongSignature { .. } => "sign the bundle again with the signer's own key",
            Self::WrongDigest { .. } => "the body was altered after it was signed; sign it again",
            Self::WrongVersion { .. } => "set the version in the bundle and sign it again",
            Self::BadKey => "make a key with `pinhaven bundle key`",
        }
    }
}

/// Private key with which a person signs bundles.
pub struct PrivateKey(ed25519_dalek::SigningKey);

impl PrivateKey {
    /// Creates a random key.
    ///
    /// # Panics
    ///
    /// Panics if the operating system has no random source.
    pub fn random() -> Self {
        let mut bytes = [0; 32];
        getrandom::fill(&mut bytes).expect("the system has a random source");
        Self(ed25519_dalek::SigningKey::from_bytes(&bytes))
    }

    /// Public key that verifies signatures of this private key.
    pub fn public_key(&self) -> PublicKey {
        PublicKey(self.0.verifying_key())
    }

    /// Formats the secret in hexadecimal, for the key file.
    pub fn to_secret_text(&self) -> String {
        hex::encode(self.0.to_bytes())
    }
}

impl FromStr for PrivateKey {
    type Err = SignError;

    fn from_str(text: &str) -> Result<Self, SignError> {
        let mut bytes = [0; 32];
        hex::decode_to_slice(text.trim(), &mut bytes).map_err(|_| SignError::BadKey)?;
        Ok(Self(ed25519_dalek::SigningKey::from_bytes(&bytes)))
    }
}

/// Public key that verifies the signatures of a person.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct PublicKey(ed25519_dalek::VerifyingKey);

impl fmt::Display for PublicKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0.to_bytes()))
    }
}

impl FromStr for PublicKey {
    type Err = SignError;

    fn from_str(text: &str) -> Result<Self, SignError> {
        let mut bytes = [0; 32];
        hex::decode_to_slice(text.trim(), &mut bytes).map_err(|_| SignError::BadKey)?;
        let key = ed25519_dalek::VerifyingKey::from_bytes(&bytes).map_err(|_| SignError::BadKey)?;
        Ok(Self(key))
    }
}

impl TryFrom<String> for PublicKey {
    type Error = SignError;

    fn try_from(text: String) -> Result<Self, SignError> {
        text.parse()
    }
}

impl From<PublicKey> for String {
    fn from(key: PublicKey) -> String {
        key.to_string()
    }
}

/// Person whose signatures are accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrustedSigner {
    /// Name of the person.
    pub name: SignerName,
    /// Public key of the person.
    pub public_key: PublicKey,
}

/// Head of the bundle history: the digest and signature of one version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BundleHead {
    /// The version.
    pub version: BundleVersion,
    /// Digest of the canonical body.
    pub digest: Digest,
    /// Name of the person who signed the version.
    pub signer: SignerName,
    /// The signature, in hexadecimal.
    pub signature: String,
    /// Id of the write that made this version the head.
    pub operation: OperationId,
}

/// Signed bundle as stored in a file between signing and rolling.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SignedBundle {
    /// The version.
    pub version: BundleVersion,
    /// Digest of the canonical body.
    pub digest: Digest,
    /// Name of the person who signed the version.
    pub signer: SignerName,
    /// The signature, in hexadecimal.
    pub signature: String,
    /// Body of the bundle.
    pub body: crate::Bundle,
}

impl SignedBundle {
    /// Signs a bundle.
    pub fn new(bundle: &CanonicalBundle, signer: SignerName, key: &PrivateKey) -> Self {
        let version = bundle.bundle().version;
        let statement = statement(version, bundle.digest(), &signer);
        let signature = key.0.sign(statement.as_bytes());
        Self {
            version,
            digest: bundle.digest(),
            signer,
            signature: hex::encode(signature.to_bytes()),
            body: bundle.bundle().clone(),
        }
    }

    /// Creates the head that rolling this bundle writes.
    pub fn head(&self, operation: OperationId) -> BundleHead {
        BundleHead {
            version: self.version,
            digest: self.digest,
            signer: self.signer.clone(),
            signature: self.signature.clone(),
            operation,
        }
    }
}

/// Verifies a head and the body to which it refers.
///
/// # Errors
///
/// Returns [`SignError`] if the signer is not trusted or if the version, the digest, the signature or the body was
/// altered.
pub fn verify_head(
    head: &BundleHead,
    body: &CanonicalBundle,
    trusted: &[TrustedSigner],
) -> Result<(), SignError> {
    let version = head.version;
    let Some(signer) = trusted.iter().find(|signer| signer.name == head.signer) else {
        return Err(SignError::UnknownSigner {
            version,
            signer: head.signer.clone(),
        });
    };
    if body.digest() != head.digest {
        return Err(SignError::WrongDigest {
            version,
            found: body.digest(),
            signed: head.digest,
        });
    }
    if body.bundle().version != version {
        return Err(SignError::WrongVersion {
            version,
            found: body.bundle().version,
        });
    }
    let statement = statement(version, head.digest, &head.signer);
    let verified = parse_signature(&head.signature).is_some_and(|s| {
        signer
            .public_key
            .0
            .verify_strict(statement.as_bytes(), &s)
            .is_ok()
    });
    if !verified {
        return Err(SignError::WrongSignature {
            version,
            signer: head.signer.clone(),
        });
    }
    Ok(())
}

fn parse_signature(text: &str) -> Option<ed25519_dalek::Signature> {
    let mut bytes = [0; 64];
    hex::decode_to_slice(text, &mut bytes).ok()?;
    Some(ed25519_dalek::Signature::from_bytes(&bytes))
}

fn statement(version: BundleVersion, digest: Digest, signer: &SignerName) -> String {
    format!("{SIGNATURE_CONTEXT}\n{version}\n{digest}\n{signer}")
}
