//! The bundle version in force at one entry.
//!
//! A bundle is offered, then verified, then put in force; the type says how far it has come, and only
//! a verified one can be put in force. [`VersionInForce`] takes none but newer versions.

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

/// Who is named for a version that the store acknowledged. No key signs for this name.
const ACKNOWLEDGED_SIGNER: &str = "acknowledged-by-store";
/// The write that is named for such a version.
const ACKNOWLEDGED_OPERATION: &str = "acknowledged";

/// State of an offer that nothing has been checked of.
#[derive(Debug, Clone)]
pub struct Offered;

/// State of an offer whose signature and digest are right.
#[derive(Debug, Clone)]
pub struct Verified;

/// A bundle version on its way to being in force.
#[derive(Debug, Clone)]
pub struct Offer<State> {
    head: BundleHead,
    body: Arc<CanonicalBundle>,
    state: std::marker::PhantomData<State>,
}

impl Offer<Offered> {
    /// A version as the platform or a peer offers it.
    pub fn new(head: BundleHead, body: CanonicalBundle) -> Self {
        Self {
            head,
            body: Arc::new(body),
            state: std::marker::PhantomData,
        }
    }

    /// Checks who signed the version off, and that the body is the one that was signed.
    ///
    /// # Errors
    ///
    /// [`SignError`] when it was not signed by a trusted person, or was altered.
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
    /// A version that operators wrote to a store which takes only theirs: its acknowledgement stands
    /// for the signature, and nobody else can write there.
    ///
    /// # Errors
    ///
    /// [`ParseNameError`] never in practice: the names that it writes are fixed.
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
    /// The head.
    pub fn head(&self) -> &BundleHead {
        &self.head
    }

    /// The body.
    pub fn body(&self) -> &Arc<CanonicalBundle> {
        &self.body
    }
}

/// putting version {offered} in force: version {held} is already
#[derive(Debug, Clone, PartialEq, Eq, DisplayDoc)]
pub struct OlderVersion {
    /// Version that was offered.
    pub offered: BundleVersion,
    /// Version that is in force.
    pub held: BundleVersion,
}

impl std::error::Error for OlderVersion {}

/// The version in force, which only grows.
#[derive(Debug, Default)]
pub struct VersionInForce {
    held: Option<Offer<Verified>>,
}

impl VersionInForce {
    /// No version yet.
    pub const fn new() -> Self {
        Self { held: None }
    }

    /// The version in force, or [`BundleVersion::NONE`].
    pub fn version(&self) -> BundleVersion {
        self.held
            .as_ref()
            .map_or(BundleVersion::NONE, |held| held.head.version)
    }

    /// The offer in force.
    pub fn held(&self) -> Option<&Offer<Verified>> {
        self.held.as_ref()
    }

    /// Puts a version in force.
    ///
    /// # Errors
    ///
    /// [`OlderVersion`] when the same or a newer one is in force; nothing changes then.
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
