//! A loopback proxy that delays, resets, cuts one way or silences what passes.

use std::net::SocketAddr;
use std::sync::{
    Arc,
    Mutex, //
};
use std::time::Duration;

use tokio::io::{
    AsyncReadExt,
    AsyncWriteExt, //
};
use tokio::net::tcp::{
    OwnedReadHalf,
    OwnedWriteHalf, //
};
use tokio::net::{
    TcpListener,
    TcpStream, //
};
use tokio::sync::watch;

/// What a link does to what passes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Link {
    #[default]
    Well,
    Delayed(Duration),
    /// Nothing comes back.
    NoAnswers,
    /// Nothing passes, and nobody is told.
    Silent,
    /// Open connections are reset, new ones too.
    Reset,
}

/// A proxy before one address. Dropping it ends its connections.
#[derive(Clone, Debug)]
pub struct Proxy {
    address: SocketAddr,
    link: Arc<Mutex<Link>>,
    changed: Arc<watch::Sender<u64>>,
}

impl Proxy {
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (changed, _) = watch::channel(0);
        let proxy = Self {
            address: listener.local_addr().unwrap(),
            link: Arc::default(),
            changed: Arc::new(changed),
        };
        tokio::spawn(proxy.clone().accept(listener, target));
        proxy
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn set(&self, link: Link) {
        *self.link.lock().unwrap() = link;
        self.changed.send_modify(|count| *count += 1);
    }

    fn link(&self) -> Link {
        *self.link.lock().unwrap()
    }

    async fn accept(self, listener: TcpListener, target: SocketAddr) {
        while let Ok((tcp, _)) = listener.accept().await {
            tokio::spawn(self.clone().carry(tcp, target));
        }
    }

    async fn carry(self, caller: TcpStream, target: SocketAddr) {
        let Ok(called) = TcpStream::connect(target).await else {
            return;
        };
        // A connection that cannot be tuned still works.
        let _slower = (caller.set_nodelay(true), called.set_nodelay(true));
        let (caller_rx, caller_tx) = caller.into_split();
        let (called_rx, called_tx) = called.into_split();
        tokio::select! {
            () = self.pass(caller_rx, called_tx, |link| link == Link::Silent) => {}
            () = self.pass(called_rx, caller_tx, |link| {
                matches!(link, Link::Silent | Link::NoAnswers)
            }) => {}
            () = self.reset() => {}
        }
    }

    async fn reset(&self) {
        let mut changed = self.changed.subscribe();
        while self.link() != Link::Reset {
            if changed.changed().await.is_err() {
                return;
            }
        }
    }

    /// Passes bytes on until the connection ends. What is held back while `holds` stays lost.
    async fn pass(&self, mut rx: OwnedReadHalf, mut tx: OwnedWriteHalf, holds: fn(Link) -> bool) {
        let mut buf = [0; 8192];
        let mut is_lost = false;
        loop {
            let Ok(count) = rx.read(&mut buf).await else {
                return;
            };
            if count == 0 {
                // The other side must not hear of the end of a connection that went silent.
                if is_lost || holds(self.link()) {
                    std::future::pending::<()>().await;
                }
                return;
            }
            is_lost |= holds(self.link());
            if is_lost {
                continue;
            }
            if let Link::Delayed(time) = self.link() {
                tokio::time::sleep(time).await;
            }
            if tx.write_all(&buf[..count]).await.is_err() {
                return;
            }
        }
    }
}
