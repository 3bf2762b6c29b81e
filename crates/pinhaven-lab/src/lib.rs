//! Starts real processes for the demo, the measurements and the failure tests.
//!
//! A [`Lab`] consists of a platform, targets and entries. Each is a separate process on the loopback interface, with
//! ports chosen by the kernel. Dropping the lab kills all its processes.
//!
//! [`emulate`], [`membership`] and [`versions`] run the decision logic in emulated time instead, without other processes.

pub mod check;
pub mod demo;
pub mod emulate;
mod lab;
pub mod measure;
pub mod membership;
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
