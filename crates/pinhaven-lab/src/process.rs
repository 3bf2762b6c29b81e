//! Child process of a lab.

use pinhaven_runtime::sleep_ms;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use std::io::BufRead as _;
use std::io::BufReader;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

/// Clock ticks per second in `/proc`.
const TICKS_PER_S: f64 = 100.0;
/// Interval between two checks whether a process has exited, in milliseconds.
const POLL_MS: u64 = 10;
/// Bytes per memory page.
const PAGE_BYTES: u64 = 4096;

/// Child process that is killed on drop.
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a program that writes its output to a log file. If `reads_line` is set, standard output is piped instead
    /// and its first line is returned.
    ///
    /// # Errors
    ///
    /// The I/O error if the log can't be opened, the program can't be started or its first line can't be read.
    pub fn start(
        program: &Path,
        arguments: &[String],
        log: &Path,
        reads_line: bool,
    ) -> std::io::Result<(Self, String)> {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(log)?;
        let mut command = Command::new(program);
        command.args(arguments).stdin(Stdio::null());
        command.stdout(if reads_line {
            Stdio::piped()
        } else {
            log.try_clone()?.into()
        });
        command.stderr(log);
        let mut process = Self {
            child: command.spawn()?,
        };
        let mut line = String::new();
        if let Some(output) = process.child.stdout.take() {
            BufReader::new(output).read_line(&mut line)?;
        }
        Ok((process, line))
    }

    /// Path of a program in the build folder of the current one.
    pub fn program(name: &str) -> PathBuf {
        sibling(name)
    }

    /// Kills the process with SIGKILL and waits for its end.
    pub fn kill(&mut self) {
        // Fails only if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Pauses the process with SIGSTOP.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes a paused process with SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Requests with SIGHUP that the process reload its settings.
    pub fn signal_reload(&self) {
        self.signal(Signal::HUP);
    }

    /// Requests a planned stop with SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Waits for the process to exit and returns whether it exited successfully; `None` if `wait_max` has passed.
    pub async fn wait(&mut self, wait_max: Duration) -> Option<bool> {
        let began = Instant::now();
        while began.elapsed() < wait_max {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status.success());
            }
            sleep_ms(POLL_MS).await;
        }
        None
    }

    /// Processor time used so far.
    pub fn cpu_time(&self) -> Duration {
        let path = format!("/proc/{}/stat", self.child.id());
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let after_name = text.rsplit_once(')').map_or("", |(_, rest)| rest);
        let ticks: u64 = after_name
            .split_whitespace()
            .skip(11)
            .take(2)
            .filter_map(|field| field.parse::<u64>().ok())
            .sum();
        Duration::from_secs_f64(ticks as f64 / TICKS_PER_S)
    }

    /// Resident memory of the process, in bytes.
    pub fn memory_bytes(&self) -> u64 {
        let path = format!("/proc/{}/statm", self.child.id());
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let pages: Option<u64> = text
            .split_whitespace()
            .nth(1)
            .and_then(|pages| pages.parse().ok());
        pages.unwrap_or_default() * PAGE_BYTES
    }

    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        if let Some(pid) = pid {
            // Fails only if the process has already exited.
            let _ = kill_process(pid, signal);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Path of a program in the build folder of the current one.
pub(crate) fn sibling(name: &str) -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    let mut folder = own.parent().map(Path::to_path_buf).unwrap_or_default();
    if folder.ends_with("deps") {
        folder.pop();
    }
    folder.join(name)
}
