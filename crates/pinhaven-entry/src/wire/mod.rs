//! Wire formats of requests, answers, refusals and load reports.
//!
//! This module converts between typed values and header fields, paths and bodies. It makes no decisions.

pub(crate) mod dialect;
pub(crate) mod fields;
pub(crate) mod header;
pub(crate) mod load_report;
pub(crate) mod problem;
pub(crate) mod rest;
