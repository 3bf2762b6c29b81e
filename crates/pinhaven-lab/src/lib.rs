//! Starts real processes for the demo, the measurements and the failure tests.
//!
//! A [`Lab`] has a platform, targets and entries, each a process of its own on the loopback interface
//! with ports that the kernel picks. Everything it started ends with it.

pub mod check;
pub mod demo;
pub mod emulate;
mod lab;
pub mod measure;
mod plan;
mod process;
mod queue;
pub mod soak;
mod table;
pub mod versions;

pub use lab::Lab;
pub use lab::LabError;
pub use plan::LabPlan;
pub use plan::ServicePlan;
pub use process::Process;
pub use table::print_table;
