//! The record of decisions.
//!
//! Each line is a JSON object with the time, the part of the software that writes it, the event and its facts. The
//! events of one request are collected in a [`Trace`] until the request ends; then either all of them are recorded or
//! none. Lines are buffered in a [`Ring`] of fixed size and written by a separate thread. When lines arrive faster than
//! the output accepts them, the least important are dropped and counted, and no request waits for the output.

mod behind;
mod line;
mod read;
mod recorder;
mod ring;
mod timeline;
mod trace;
mod writer;

pub use behind::EntryBehind;
pub use behind::entries_behind;
pub use line::Line;
pub use read::ReadLine;
pub use read::read_lines;
pub use recorder::Recorder;
pub use ring::Importance;
pub use ring::Ring;
pub use ring::RingCounts;
pub use timeline::Mark;
pub use timeline::Timeline;
pub use trace::Chosen;
pub use trace::TargetCounts;
pub use trace::Trace;
pub use trace::TraceEvent;
pub use writer::write_lines;
