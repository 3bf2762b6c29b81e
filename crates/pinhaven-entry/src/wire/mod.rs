//! How requests, answers, refusals and load reports are spelled.
//!
//! Nothing here decides: typed values on one side, header fields and bodies on the other.

pub(crate) mod dialect;
pub(crate) mod header;
pub(crate) mod load_report;
pub(crate) mod problem;
pub(crate) mod rest;
