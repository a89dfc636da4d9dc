//! The programs of the deploy file as processes, with settings like those of a small site, and the record of a
//! case.

use std::fs::{
    self,
    File, //
};
use std::io::Write;
use std::net::{
    IpAddr,
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
use std::sync::{
    Arc,
    Mutex, //
};
use std::thread;
use std::time::{
    Duration,
    Instant, //
};

use crate::http::exchange;
use crate::wire::fill;
use crate::wire::name;

/// Why a case could not run.
pub type Failure = Box<dyn std::error::Error>;

/// The record of a case. Clones share it.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> Result<Self, Failure> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Self {
            file: Arc::new(Mutex::new(file)),
            began: Instant::now(),
        })
    }

    pub fn elapsed(&self) -> Duration {
        self.began.elapsed()
    }

    /// Writes a line with the time since the start.
    pub fn line(&self, text: &str) {
        let seconds = self.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _shown_by_its_lack = writeln!(file, "{seconds:8.3} {text}");
    }
}

/// A temporary folder, which is removed at the end.
pub struct Folder(PathBuf);

impl Folder {
    pub fn create() -> Result<Self, Failure> {
        let path = std::env::temp_dir().join(format!("rig3-{}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(Self(path))
    }

    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _left_behind = fs::remove_dir_all(&self.0);
        }
    }
}

/// A loopback address of this run; runs at the same time have others.
pub fn loopback(host: u8) -> IpAddr {
    let run = std::process::id();
    IpAddr::from([127, 20 + (run % 200) as u8, (run / 200 % 250) as u8, host])
}

/// Listens on a free port of an address.
pub fn listen(ip: IpAddr) -> Result<TcpListener, Failure> {
    Ok(TcpListener::bind(SocketAddr::new(ip, 0))?)
}

/// The ports of the processes, from a row of free ones.
#[derive(Clone, Copy)]
pub struct Ports {
    first: u16,
}

impl Ports {
    /// Finds a row of ports that are free on all these addresses.
    pub fn find(ips: &[IpAddr]) -> Result<Self, Failure> {
        for first in (21_000..30_000).step_by(40) {
            let is_free = |port| ips.iter().all(|ip| TcpListener::bind((*ip, port)).is_ok());
            if (first..first + 32).all(is_free) {
                return Ok(Self { first });
            }
        }
        Err("no free ports".into())
    }

    pub fn callers(self) -> u16 {
        self.first + 5
    }

    fn ready(self) -> u16 {
        self.first + 2
    }

    fn entries(self) -> u16 {
        self.first
    }

    fn internal(self) -> u16 {
        self.first + 10
    }
}

/// A process of the system.
pub struct Process {
    pub name: String,
    pub ip: IpAddr,
    ports: Ports,
    child: Child,
}

/// Starts an entry with the command of the deploy file.
fn spawn(settings: &Path, log: &Path) -> Result<Child, Failure> {
    let log = File::options().create(true).append(true).open(log)?;
    let mut command = Command::new("target/release/medlarproxy");
    command
        .args(["platform", "entry"])
        .env(name("settings-variable"), settings);
    let command = command
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log);
    Ok(command.spawn()?)
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ended_already = self.child.kill();
        let _status = self.child.wait();
    }
}

impl Process {
    /// Starts an entry as the platform does.
    pub fn entry(
        folder: &Path,
        name: &str,
        ip: IpAddr,
        ports: Ports,
        store: SocketAddr,
    ) -> Result<Self, Failure> {
        let (ip_text, store) = (ip.to_string(), store.to_string());
        let last_internal = (ports.internal() + 15).to_string();
        let port = |port: u16| port.to_string();
        let (callers, ready) = (port(ports.callers()), port(ports.ready()));
        let (entries, first_internal) = (port(ports.entries()), port(ports.internal()));
        let values = [
            ("name", name),
            ("ip", &ip_text),
            ("callers", &callers),
            ("ready", &ready),
            ("entries", &entries),
            ("first_internal", &first_internal),
            ("last_internal", &last_internal),
            ("store", &store),
        ];
        let settings = fill(include_str!("../wire/settings.json"), &values);
        let file = folder.join(format!("{name}.json"));
        fs::write(&file, settings)?;
        let log = folder.join(format!("{name}.log"));
        let child = spawn(&file, &log)?;
        Ok(Self {
            name: name.to_owned(),
            ip,
            ports,
            child,
        })
    }

    pub fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.ports.callers())
    }

    /// Waits until the readiness check succeeds.
    pub fn wait_until_ready(&self, limit: Duration) -> Result<(), Failure> {
        let address = SocketAddr::new(self.ip, self.ports.ready());
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let check = b"GET /readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
            let answer = exchange(address, check, Duration::from_secs(1));
            if answer.is_ok_and(|answer| answer.status == 200) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(format!("{} is not ready", self.name).into())
    }
}
