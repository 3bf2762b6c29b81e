//! The bundle version in force at one entry.
//!
//! A bundle is offered, verified, and then put in force. The type state of [`Offer`] records the
//! progress, and only a verified offer can be put in force. [`VersionInForce`] accepts newer versions
//! only.

use displaydoc::Display as DisplayDoc;
use pinhaven_bundle::BundleHead;
use pinhaven_bundle::CanonicalBundle;
use pinhaven_bundle::SignError;
use pinhaven_bundle::TrustedSigner;
use pinhaven_bundle::verify_head;
use pinhaven_types::BundleVersion;
use pinhaven_types::ParseNameError;
use pinhaven_types::Promise;
use pinhaven_types::require_promise;
use std::sync::Arc;

/// Signer that is recorded for a version that the store acknowledged. No key signs under this name.
const ACKNOWLEDGED_SIGNER: &str = "acknowledged-by-store";
/// Id recorded as the write that made an acknowledged version the head, in place of the writer's own id.
const ACKNOWLEDGED_OPERATION: &str = "acknowledged";

/// State of an offer that has not been checked.
#[derive(Debug, Clone)]
pub struct Offered;

/// State of an offer whose signature and digest are correct.
#[derive(Debug, Clone)]
pub struct Verified;

/// A bundle version that may be put in force.
#[derive(Debug, Clone)]
pub struct Offer<State> {
    head: BundleHead,
    body: Arc<CanonicalBundle>,
    state: std::marker::PhantomData<State>,
}

impl Offer<Offered> {
    /// A version as offered by the platform or a peer.
    pub fn new(head: BundleHead, body: CanonicalBundle) -> Self {
        Self {
            head,
            body: Arc::new(body),
            state: std::marker::PhantomData,
        }
    }

    /// Verifies the signature of the version, and that the body is the signed one.
    ///
    /// # Errors
    ///
    /// [`SignError`] when no trusted signer signed the version, or the version was altered.
    pub fn verify(self, trusted: &[TrustedSigner]) -> Result<Offer<Verified>, SignError> {
        verify_head(&self.head, &self.body, trusted)?;
        Ok(Offer {
            head: self.head,
            body: self.body,
            state: std::marker::PhantomData,
        })
    }
}

impl Offer<Verified> {
    /// A version that operators wrote to a store that accepts writes of operators only. The store's
    /// acknowledgement replaces the signature, because no other writer has access.
    ///
    /// # Errors
    ///
    /// [`ParseNameError`] never in practice: the recorded names are constant.
    pub fn acknowledged(body: CanonicalBundle) -> Result<Self, ParseNameError> {
        let head = BundleHead {
            version: body.bundle().version,
            digest: body.digest(),
            signer: ACKNOWLEDGED_SIGNER.parse()?,
            signature: String::new(),
            operation: ACKNOWLEDGED_OPERATION.parse()?,
        };
        Ok(Self {
            head,
            body: Arc::new(body),
            state: std::marker::PhantomData,
        })
    }
}

impl<State> Offer<State> {
    /// Head of the version, with its digest and signature.
    pub fn head(&self) -> &BundleHead {
        &self.head
    }

    /// Body of the version.
    pub fn body(&self) -> &Arc<CanonicalBundle> {
        &self.body
    }
}

/// putting version {offered} in force: version {held} is already in force
#[derive(Debug, Clone, PartialEq, Eq, DisplayDoc)]
pub struct OlderVersion {
    /// Version that was offered.
    pub offered: BundleVersion,
    /// Version that is in force.
    pub held: BundleVersion,
}

impl std::error::Error for OlderVersion {}

/// The version in force, which only increases.
#[derive(Debug, Default)]
pub struct VersionInForce {
    held: Option<Offer<Verified>>,
}

impl VersionInForce {
    /// No version is in force yet.
    pub const fn new() -> Self {
        Self { held: None }
    }

    /// The version in force, or [`BundleVersion::NONE`].
    pub fn version(&self) -> BundleVersion {
        self.held
            .as_ref()
            .map_or(BundleVersion::NONE, |held| held.head.version)
    }

    /// The offer that is in force.
    pub fn held(&self) -> Option<&Offer<Verified>> {
        self.held.as_ref()
    }

    /// Puts a version in force.
    ///
    /// # Errors
    ///
    /// [`OlderVersion`] when the same or a newer version is in force; the version in force then stays.
    pub fn put_in_force(&mut self, offer: Offer<Verified>) -> Result<(), OlderVersion> {
        let held = self.version();
        let offered = offer.head.version;
        if offered <= held {
            return Err(OlderVersion { offered, held });
        }
        self.held = Some(offer);
        require_promise(Promise::NeverReverts, self.version() > held, || {
            format!("version {} follows version {held}", self.version())
        });
        Ok(())
    }
}
