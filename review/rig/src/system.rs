//! The entries and agents of a case: processes of the build of the deploy file.

use std::net::{
    SocketAddr,
    TcpListener, //
};
use std::path::{
    Path,
    PathBuf, //
};
use std::process::{
    Child,
    Command,
    Stdio, //
};
use std::time::Duration;

use serde_json::{
    json,
    Value, //
};

use crate::standin::publish::{
    settings_text,
    ProcessAddresses, //
};

/// A process that is killed when it is dropped.
pub struct Process {
    program: PathBuf,
    arguments: Vec<String>,
    log: PathBuf,
    child: Child,
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Process {
    pub fn start(program: PathBuf, arguments: Vec<String>, log: PathBuf) -> Self {
        let child = spawn(&program, &arguments, &log);
        Self {
            program,
            arguments,
            log,
            child,
        }
    }

    /// Kills it by its own id.
    pub fn kill(&mut self) {
        // It may have ended already.
        let _ended = self.child.kill();
        let _status = self.child.wait();
    }

    /// Starts it again, as the platform does.
    pub fn restart(&mut self) {
        self.kill();
        self.child = spawn(&self.program, &self.arguments, &self.log);
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

fn spawn(program: &Path, arguments: &[String], log: &Path) -> Child {
    let log = std::fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(log)
        .expect("a log");
    Command::new(program)
        .args(arguments)
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("a log"))
        .stderr(log)
        .spawn()
        .expect("the program can be started")
}

/// The machines of a case: addresses on the loopback interface, and a temporary folder.
pub struct Site {
    net: String,
    pub folder: PathBuf,
    pub store: SocketAddr,
}

impl Drop for Site {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _left = std::fs::remove_dir_all(&self.folder);
        }
    }
}

impl Site {
    pub fn new(store: SocketAddr) -> Self {
        let folder = std::env::temp_dir().join(format!("rig-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let is_free = |net: &String| {
            (1..=40).all(|host| TcpListener::bind((format!("{net}.{host}"), 8005)).is_ok())
        };
        let first = std::process::id() % 100;
        let nets = (0..100).map(|i| format!("127.77.{}", 1 + (first + i) % 200));
        let net = nets.into_iter().find(is_free).expect("free addresses");
        Self { net, folder, store }
    }

    pub fn ip(&self, host: usize) -> String {
        format!("{}.{host}", self.net)
    }

    pub fn address(&self, host: usize, port: u16) -> SocketAddr {
        format!("{}:{port}", self.ip(host))
            .parse()
            .expect("an address")
    }

    /// Starts an entry on its machine.
    pub fn start_entry(&self, host: usize) -> Process {
        let settings = self.settings(&format!("frontend-a-{host}"), host, "frontend");
        self.start("entry", host, &settings)
    }

    /// Starts the agent of the engine on the same machine.
    pub fn start_agent(&self, host: usize) -> Process {
        let settings = self.settings(&format!("side-a-{host}"), host, "side");
        self.start("agent", host, &settings)
    }

    /// The settings of the project's stand-in of the platform, with what the small sites have beside them.
    fn settings(&self, name: &str, host: usize, class: &str) -> Value {
        let engine = (class == "side").then(|| self.address(host, 8001));
        let text = settings_text(&ProcessAddresses {
            name: name.to_owned(),
            ip: self.ip(host),
            store: self.store,
            engine,
            seeds: vec![self.ip(1), self.ip(2)],
        });
        let mut settings: Value = serde_json::from_str(&text).expect("settings");
        let bounds = [
            ("touch_ms", 3000),
            ("config_apply_ms", 2000),
            ("drain_timeout_ms", 2000),
            ("evacuation_ms", 5000),
        ];
        for (name, ms) in bounds {
            settings["bounds"][name] = json!(ms);
        }
        settings["heartbeat_interval_ms"] = json!(1200);
        settings["limits"]["memory_mb"] = json!(if class == "frontend" { 260 } else { 128 });
        settings
    }

    fn start(&self, role: &str, host: usize, settings: &Value) -> Process {
        let file = self.folder.join(format!("{role}-{host}.json"));
        std::fs::write(&file, settings.to_string()).expect("a settings file");
        let arguments = ["platform", "--settings", &file.display().to_string(), role];
        let arguments = arguments.map(str::to_owned).to_vec();
        let log = self.folder.join(format!("{role}-{host}.log"));
        Process::start("target/release/medlarproxy".into(), arguments, log)
    }
}

/// Whether the case plays its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub async fn pause(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}
