//! The record of decisions.
//!
//! Each line is a JSON object with the time, the part that speaks, the event and its facts. What
//! happened to one request is kept as a [`Trace`] until the request is over, and then recorded whole
//! or not at all. Lines wait in a [`Ring`] of fixed size and are written by a thread of their own:
//! when the output does not take them, the least important are dropped and counted, and no request is
//! ever held up.

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
