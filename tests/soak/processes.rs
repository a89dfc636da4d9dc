//! Runs the real binary in child processes, which are killed when dropped.

#![allow(dead_code, reason = "each test program uses a part of this module")]

use std::path::{
    Path,
    PathBuf, //
};
use std::process::{
    Child,
    Command,
    Stdio, //
};

use nix::sys::signal::{
    kill,
    Signal, //
};
use nix::unistd::Pid;

use crate::standin::publish::{
    settings_text,
    ProcessAddresses, //
};

/// One child process, which can be restarted with the same settings.
pub struct Process {
    pub addresses: ProcessAddresses,
    role: &'static str,
    folder: PathBuf,
    child: Child,
    pub is_paused: bool,
}

impl Drop for Process {
    fn drop(&mut self) {
        // Only this child is killed, by its own id. It may have exited already.
        let _result = self.child.kill();
        let _status = self.child.wait();
    }
}

impl Process {
    pub fn start(folder: &Path, role: &'static str, addresses: ProcessAddresses) -> Self {
        let child = spawn(folder, role, &addresses);
        Self {
            addresses,
            role,
            folder: folder.to_owned(),
            child,
            is_paused: false,
        }
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&mut self, signal: Signal) {
        match signal {
            Signal::SIGSTOP => self.is_paused = true,
            Signal::SIGCONT => self.is_paused = false,
            _ => {}
        }
        let pid = i32::try_from(self.child.id()).unwrap();
        // The process may have exited by itself, which the checks report.
        let _result = kill(Pid::from_raw(pid), signal);
    }

    /// Whether the process exited with success, or `None` while it is running.
    pub fn exit_success(&mut self) -> Option<bool> {
        let status = self.child.try_wait().unwrap()?;
        Some(status.success())
    }

    pub fn restart(&mut self) {
        let _result = self.child.kill();
        let _status = self.child.wait();
        self.is_paused = false;
        self.child = spawn(&self.folder, self.role, &self.addresses);
    }
}

fn spawn(folder: &Path, role: &str, addresses: &ProcessAddresses) -> Child {
    let file = folder.join(format!("{}.json", addresses.name));
    std::fs::write(&file, settings_text(addresses)).unwrap();
    let log = std::fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(folder.join(format!("{}.log", addresses.name)))
        .unwrap();
    Command::new(env!("CARGO_BIN_EXE_medlarproxy"))
        .args(["platform", "--settings"])
        .arg(&file)
        .arg(role)
        .stdin(Stdio::null())
        .stdout(log.try_clone().unwrap())
        .stderr(log)
        .spawn()
        .unwrap()
}
