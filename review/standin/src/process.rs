//! Starts an entry as the platform does, with the settings of a small deployment.

use std::net::{
    IpAddr,
    Ipv4Addr,
    SocketAddr,
    TcpListener, //
};
use std::path::PathBuf;
use std::process::Stdio;
use std::time::Duration;

use nix::sys::signal::{
    kill,
    Signal, //
};
use nix::unistd::Pid;
use serde_json::{
    json,
    Value, //
};
use tokio::process::{
    Child,
    Command, //
};
use tokio::time::sleep;

use crate::http::exchange;
use crate::platform::{
    self,
    name, //
};

/// The command of the role in deploy/system.toml, from the repository's root.
const PROGRAM: &str = "target/release/medlarproxy";

/// `memory_mb` of the settings.
pub const MEMORY_MB: u32 = 260;

/// Ports that nobody else uses.
fn free_ports<const N: usize>() -> [u16; N] {
    let listeners: Vec<TcpListener> = (0..N)
        .map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port"))
        .collect();
    std::array::from_fn(|i| listeners[i].local_addr().expect("a bound address").port())
}

/// The first of two free ports in a row: that of internal traffic and that of the metrics.
pub fn free_port_pair() -> u16 {
    loop {
        let [port] = free_ports::<1>();
        let next = port.checked_add(1);
        if next.is_some_and(|next| TcpListener::bind((Ipv4Addr::LOCALHOST, next)).is_ok()) {
            return port;
        }
    }
}

/// A process of the system.
pub struct Process {
    child: Child,
    /// The files of the process, which are removed at the end.
    files: Vec<PathBuf>,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _already_ended = self.child.start_kill();
        // The program must not end before the processes that it started.
        for _ in 0..500 {
            match self.child.try_wait() {
                Ok(None) => std::thread::sleep(Duration::from_millis(2)),
                Ok(Some(_)) | Err(_) => break,
            }
        }
        for path in &self.files {
            let _already_removed = std::fs::remove_file(path);
        }
    }
}

impl Process {
    /// Starts a role with the command of deploy/system.toml.
    pub fn start(role: &str, settings: &Value) -> Option<Self> {
        let node = settings["node_name"].as_str().unwrap_or(role);
        let file = |extension| format!("{node}-{}.{extension}", std::process::id());
        let path = std::env::temp_dir().join(file("json"));
        let log = std::env::temp_dir().join(file("log"));
        std::fs::write(&path, settings.to_string()).ok()?;
        let child = Command::new(PROGRAM)
            .args(["platform", role])
            .env(name("settings_variable"), &path)
            .stdin(Stdio::null())
            .stdout(std::fs::File::create(&log).ok()?)
            .stderr(Stdio::inherit())
            .kill_on_drop(true)
            .spawn()
            .ok()?;
        Some(Self {
            child,
            files: vec![path, log],
        })
    }

    pub fn signal(&self, signal: Signal) {
        let pid = self.child.id().and_then(|pid| i32::try_from(pid).ok());
        if let Some(pid) = pid {
            let _already_ended = kill(Pid::from_raw(pid), signal);
        }
    }

    /// The memory of the process that no file backs, or `None` if it has ended.
    pub fn private_memory_mb(&self) -> Option<f64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()?)).ok()?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("RssAnon:"))?;
        let kib: f64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
        Some(kib * 1024.0 / 1e6)
    }

    /// Waits until the process has ended, for `limit` at most. Returns a text for the record.
    pub async fn wait(&mut self, limit: Duration) -> String {
        match tokio::time::timeout(limit, self.child.wait()).await {
            Ok(Ok(status)) => status.to_string(),
            Ok(Err(e)) => format!("its status cannot be read: {e}"),
            Err(_) => "it still runs".to_owned(),
        }
    }
}

/// The settings of a process on the instance with this address.
fn settings(name: &str, ip: Ipv4Addr, internal: u16, store: SocketAddr) -> Value {
    let mut settings = platform::settings();
    settings["node_name"] = json!(name);
    settings["ip_address"] = json!(ip);
    settings["internal_ports"] = json!([internal, internal + 1]);
    settings["platform"]["address"] = json!(store);
    settings
}

/// Starts the agent of the engine at `app`, on the instance with that address.
pub fn start_agent(app: SocketAddr, internal: u16, store: SocketAddr) -> Option<Process> {
    let IpAddr::V4(ip) = app.ip() else {
        return None;
    };
    let mut settings = settings(&format!("side-a-{}", ip.octets()[3]), ip, internal, store);
    settings["role"] = json!("agent");
    settings["machine_class"] = json!("side");
    settings["serves"] = json!(["side"]);
    settings["app"] = json!(app);
    settings["service"] = json!("engines");
    settings["limits"] = json!({
        "cpu_share": 0.3, "cpu_cores": 1, "memory_mb": 128, "file_descriptors": 2048,
        "link_mbps": 7.6, "disk_mb": 0,
    });
    Process::start("agent", &settings)
}

/// An entry that runs as a process of its own.
pub struct Entry {
    pub address: SocketAddr,
    pub ready_address: SocketAddr,
    pub process: Process,
}

impl Entry {
    /// Starts an entry that reads `store`, and waits until it is ready.
    pub async fn start(store: SocketAddr) -> Option<Self> {
        Self::start_with(store, free_port_pair()).await
    }

    /// Does the same with a given port for internal traffic, on which agents listen too.
    pub async fn start_with(store: SocketAddr, internal: u16) -> Option<Self> {
        let [frontend, ready, control] = free_ports::<3>();
        let local = |port: u16| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let mut settings = settings("frontend-a-1", Ipv4Addr::LOCALHOST, internal, store);
        settings["role"] = json!("entry");
        settings["machine_class"] = json!("frontend");
        settings["serves"] = json!(["frontend", "control_plane"]);
        settings["listen_addresses"] = json!({
            "frontend": local(frontend), "ready": local(ready), "control_plane": local(control),
        });
        settings["seed_nodes"] = json!([local(control)]);
        settings["limits"] = json!({
            "cpu_share": 0.19, "cpu_cores": 1, "memory_mb": MEMORY_MB, "file_descriptors": 4200,
            "link_mbps": 1000.0, "disk_mb": 0,
        });
        let entry = Self {
            address: local(frontend),
            ready_address: local(ready),
            process: Process::start("entry", &settings)?,
        };
        for _ in 0..100 {
            if entry.is_ready().await {
                return Some(entry);
            }
            sleep(Duration::from_millis(100)).await;
        }
        None
    }

    /// Asks as the platform does.
    pub async fn is_ready(&self) -> bool {
        let request = b"GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n";
        let answer = exchange(self.ready_address, request).await;
        answer.is_some_and(|(head, _)| head.status == 200)
    }
}
