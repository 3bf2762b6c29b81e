//! Bundles of a lab: built from the plan, signed and rolled with the operator's commands.

use super::Lab;
use super::LabError;
use super::NEXT_FOLDER;
use super::command;
use serde_json::Value;
use serde_json::json;
use std::path::Path;
use std::path::PathBuf;
use std::sync::atomic::Ordering;

/// Name of the operator who signs the lab's bundles.
pub(super) const SIGNER: &str = "operator";

impl Lab {
    pub(super) fn make_key(&mut self) -> Result<(), LabError> {
        let key = self.folder.join("operator.key");
        let key = key.display().to_string();
        self.public_key = command(&["bundle", "key", "--out", &key])?
            .trim()
            .to_owned();
        Ok(())
    }

    /// Builds a bundle of the next version with all services of the plan.
    pub fn bundle(&self) -> Value {
        let services: Vec<Value> = self
            .plan
            .services
            .iter()
            .zip(&self.targets)
            .map(|(service, targets)| service.to_bundle(targets, &self.plan.domains))
            .collect();
        json!({
            "version": self.version + 1,
            "address_keep_ms": self.plan.address_keep_ms,
            "services": services,
        })
    }

    /// Signs and rolls a bundle.
    ///
    /// # Errors
    ///
    /// [`LabError`] with the command's error output if the command fails.
    pub fn roll(&mut self, bundle: &Value) -> Result<(), LabError> {
        let signed = self.sign(bundle, SIGNER)?;
        self.roll_signed(&signed)?;
        self.version = bundle["version"].as_u64().unwrap_or(self.version + 1);
        Ok(())
    }

    /// Signs a bundle and returns the path of the signed file.
    ///
    /// # Errors
    ///
    /// [`LabError`] with the command's error output if the command fails.
    pub fn sign(&self, bundle: &Value, signer: &str) -> Result<PathBuf, LabError> {
        let number = NEXT_FOLDER.fetch_add(1, Ordering::Relaxed);
        let file = self.folder.join(format!("bundle-{number}.json"));
        let signed = self.folder.join(format!("bundle-{number}.signed.json"));
        std::fs::write(&file, bundle.to_string()).map_err(LabError::new)?;
        let key = self.folder.join("operator.key");
        command(&[
            "bundle",
            "sign",
            &file.display().to_string(),
            "--signer",
            signer,
            "--key",
            &key.display().to_string(),
            "--out",
            &signed.display().to_string(),
        ])?;
        Ok(signed)
    }

    /// Rolls a signed bundle.
    ///
    /// # Errors
    ///
    /// [`LabError`] with the command's error output if the command fails.
    pub fn roll_signed(&self, signed: &Path) -> Result<(), LabError> {
        let table = self.platform.to_string();
        let signed = signed.display().to_string();
        command(&["bundle", "roll", &signed, "--table", &table])?;
        Ok(())
    }
}
