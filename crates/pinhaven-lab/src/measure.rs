//! Measurements.
