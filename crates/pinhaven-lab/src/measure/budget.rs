//! Not yet.

use super::MeasureSettings;
use crate::lab::LabError;

pub(super) async fn run(_settings: &MeasureSettings) -> Result<(), LabError> {
    Ok(())
}
