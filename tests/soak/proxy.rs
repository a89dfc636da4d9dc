//! A loopback TCP proxy that can delay or drop bytes and reset connections.

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

/// The state of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Link {
    #[default]
    Healthy,
    Delayed(Duration),
    /// Bytes from the target are dropped.
    DropResponses,
    /// Bytes are dropped in both directions; connections stay open.
    DropAll,
    /// Open and new connections are closed.
    Reset,
}

/// A proxy in front of one address.
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

    pub fn set_link(&self, link: Link) {
        *self.link.lock().unwrap() = link;
        self.changed.send_modify(|count| *count += 1);
    }

    fn link(&self) -> Link {
        *self.link.lock().unwrap()
    }

    async fn accept(self, listener: TcpListener, target: SocketAddr) {
        while let Ok((tcp, _)) = listener.accept().await {
            tokio::spawn(self.clone().forward(tcp, target));
        }
    }

    async fn forward(self, caller: TcpStream, target: SocketAddr) {
        let Ok(server) = TcpStream::connect(target).await else {
            return;
        };
        // The connection also works without TCP_NODELAY, only slower.
        let _results = (caller.set_nodelay(true), server.set_nodelay(true));
        let (caller_rx, caller_tx) = caller.into_split();
        let (server_rx, server_tx) = server.into_split();
        tokio::select! {
            () = self.copy(caller_rx, server_tx, |link| link == Link::DropAll) => {}
            () = self.copy(server_rx, caller_tx, |link| {
                matches!(link, Link::DropAll | Link::DropResponses)
            }) => {}
            () = self.wait_for_reset() => {}
        }
    }

    async fn wait_for_reset(&self) {
        let mut changed = self.changed.subscribe();
        while self.link() != Link::Reset {
            if changed.changed().await.is_err() {
                return;
            }
        }
    }

    /// Copies bytes until the connection ends. After bytes were dropped once, all later ones in
    /// this direction are dropped too, since a TCP stream cannot have gaps.
    async fn copy(
        &self,
        mut rx: OwnedReadHalf,
        mut tx: OwnedWriteHalf,
        drops_bytes: fn(Link) -> bool,
    ) {
        let mut buf = [0; 8192];
        let mut has_dropped = false;
        loop {
            let Ok(count) = rx.read(&mut buf).await else {
                return;
            };
            if count == 0 {
                // The end of a connection is not passed on either while bytes are dropped.
                if has_dropped || drops_bytes(self.link()) {
                    std::future::pending::<()>().await;
                }
                return;
            }
            has_dropped |= drops_bytes(self.link());
            if has_dropped {
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
