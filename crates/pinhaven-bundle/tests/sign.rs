//! Signatures: an altered bundle, a wrong signature and an untrusted signer are refused.

use pinhaven_bundle::Bundle;
use pinhaven_bundle::BundleHead;
use pinhaven_bundle::CanonicalBundle;
use pinhaven_bundle::PrivateKey;
use pinhaven_bundle::SignError;
use pinhaven_bundle::SignedBundle;
use pinhaven_bundle::TrustedSigner;
use pinhaven_bundle::verify_head;
use pinhaven_types::BundleVersion;
use pinhaven_types::OperationId;

const ADA: &str = "4242424242424242424242424242424242424242424242424242424242424242";
const BOB: &str = "2424242424242424242424242424242424242424242424242424242424242424";

fn bundle(version: u64, keep_ms: u64) -> CanonicalBundle {
    let text = format!(r#"{{"version": {version}, "address_keep_ms": {keep_ms}, "services": []}}"#);
    let bundle: Bundle = serde_json::from_str(&text).unwrap();
    CanonicalBundle::new(bundle)
}

fn key(secret: &str) -> PrivateKey {
    secret.parse().unwrap()
}

fn trusted() -> Vec<TrustedSigner> {
    vec![TrustedSigner {
        name: "ada".parse().unwrap(),
        public_key: key(ADA).public_key(),
    }]
}

fn head(signer: &str, secret: &str) -> BundleHead {
    let signed = SignedBundle::new(&bundle(7, 500), signer.parse().unwrap(), &key(secret));
    signed.head(OperationId::random())
}

#[test]
fn what_ada_signed_is_accepted() {
    assert_eq!(
        verify_head(&head("ada", ADA), &bundle(7, 500), &trusted()),
        Ok(())
    );
}

#[test]
fn what_ada_did_not_sign_is_refused() {
    let right = head("ada", ADA);
    let signed_by_bob = head("bob", BOB);
    let forged = head("ada", BOB);
    let mut other_version = right.clone();
    other_version.version = BundleVersion::new(8);
    let mut no_signature = right.clone();
    no_signature.signature.clear();
    let mut cut_signature = right.clone();
    cut_signature.signature.truncate(20);
    let mut other_signature = right.clone();
    other_signature.signature.replace_range(0..2, "00");
    type Expected = fn(&SignError) -> bool;
    let table: [(&str, &BundleHead, CanonicalBundle, Expected); 7] = [
        ("a stranger", &signed_by_bob, bundle(7, 500), |e| {
            matches!(e, SignError::UnknownSigner { .. })
        }),
        ("another's key", &forged, bundle(7, 500), |e| {
            matches!(e, SignError::WrongSignature { .. })
        }),
        ("an altered body", &right, bundle(7, 501), |e| {
            matches!(e, SignError::WrongDigest { .. })
        }),
        ("another version", &other_version, bundle(7, 500), |e| {
            matches!(e, SignError::WrongVersion { .. })
        }),
        ("no signature", &no_signature, bundle(7, 500), |e| {
            matches!(e, SignError::WrongSignature { .. })
        }),
        ("a cut signature", &cut_signature, bundle(7, 500), |e| {
            matches!(e, SignError::WrongSignature { .. })
        }),
        ("another signature", &other_signature, bundle(7, 500), |e| {
            matches!(e, SignError::WrongSignature { .. })
        }),
    ];
    for (what, head, body, expected) in table {
        let error = verify_head(head, &body, &trusted()).unwrap_err();
        assert!(expected(&error), "{what}: {error}");
    }
}

#[test]
fn a_key_is_read_back_as_it_was_written() {
    let made = PrivateKey::random();
    let read: PrivateKey = made.to_secret_text().parse().unwrap();
    assert_eq!(read.public_key(), made.public_key());
    for bad in ["", "zz", "4242"] {
        assert!(bad.parse::<PrivateKey>().is_err());
    }
}
