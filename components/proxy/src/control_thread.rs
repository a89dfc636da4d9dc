//! The control thread: runs a reducer on the events of a channel.

use std::fmt;
use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};
use std::sync::mpsc::{
    channel,
    Receiver,
    RecvTimeoutError,
    Sender, //
};
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;
use utils::clock::{
    Clock,
    ClockReading, //
};
use utils::millis::millis;

use crate::error::ProxyError;

type Query<S> = Box<dyn FnOnce(&S, ClockReading) + Send>;

enum Message<S, E> {
    Event(E),
    Query(Query<S>),
    Pause(Duration),
    Stop,
}

/// A control thread without a tick for this long counts as stalled.
const STALLED_AFTER: Duration = Duration::from_secs(1);

/// A handle to the control thread of a process with state `S` and events `E`.
pub struct ControlHandle<S, E> {
    tx: Sender<Message<S, E>>,
    /// When the last tick was handled, in milliseconds of the clock's elapsed time.
    last_tick_ms: Arc<AtomicU64>,
}

impl<S, E> Clone for ControlHandle<S, E> {
    fn clone(&self) -> Self {
        Self {
            tx: self.tx.clone(),
            last_tick_ms: self.last_tick_ms.clone(),
        }
    }
}

impl<S, E> fmt::Debug for ControlHandle<S, E> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ControlHandle").finish_non_exhaustive()
    }
}

/// The receiving end of the channel to a control thread.
pub(crate) struct Inbox<S, E> {
    rx: Receiver<Message<S, E>>,
    last_tick_ms: Arc<AtomicU64>,
}

/// Creates the channel to a control thread.
pub(crate) fn control_channel<S, E>() -> (ControlHandle<S, E>, Inbox<S, E>) {
    let (tx, rx) = channel();
    let last_tick_ms = Arc::new(AtomicU64::new(0));
    let control = ControlHandle {
        tx,
        last_tick_ms: last_tick_ms.clone(),
    };
    (control, Inbox { rx, last_tick_ms })
}

impl<S, E> ControlHandle<S, E> {
    /// Sends an event to the reducer. Does nothing if the control thread has ended.
    pub fn send(&self, event: E) {
        let _ended = self.tx.send(Message::Event(event));
    }

    /// Runs a query on the state. Returns `None` if the control thread has ended.
    pub async fn query<R: Send + 'static>(
        &self,
        query: impl FnOnce(&S, ClockReading) -> R + Send + 'static,
    ) -> Option<R> {
        let (tx, rx) = oneshot::channel();
        let query = Box::new(move |state: &S, now: ClockReading| {
            let _receiver_dropped = tx.send(query(state, now));
        });
        self.tx.send(Message::Query(query)).ok()?;
        rx.await.ok()
    }

    /// Blocks the control thread for a while, as if the process were paused.
    pub fn pause(&self, duration: Duration) {
        let _ended = self.tx.send(Message::Pause(duration));
    }

    /// Whether the control thread has handled a tick recently.
    pub fn is_responsive(&self, clock: &dyn Clock) -> bool {
        let last_tick = Duration::from_millis(self.last_tick_ms.load(Ordering::Relaxed));
        clock.now().elapsed.saturating_sub(last_tick) < STALLED_AFTER
    }

    /// Ends the control thread.
    pub fn stop(&self) {
        let _ended = self.tx.send(Message::Stop);
    }
}

/// A control thread before its start: the reducer, its state, and the interval of its ticks.
pub(crate) struct ControlThread<S, E, F> {
    pub name: String,
    pub clock: Arc<dyn Clock>,
    pub tick_interval: Duration,
    pub state: S,
    /// The reducer: handles an event and returns effects.
    pub reducer: fn(&mut S, ClockReading, E) -> Vec<F>,
    /// Makes the tick event.
    pub tick_event: fn() -> E,
}

impl<S, E, F> ControlThread<S, E, F>
where
    S: Send + 'static,
    E: Send + 'static,
    F: 'static,
{
    /// Starts the thread. `execute` runs the effects and must not block.
    pub fn start(
        self,
        inbox: Inbox<S, E>,
        execute: impl FnMut(&S, ClockReading, F) + Send + 'static,
    ) -> Result<(), ProxyError> {
        std::thread::Builder::new()
            .name(self.name.clone())
            .spawn(move || self.run(&inbox, execute))
            .map(drop)
            .map_err(ProxyError::Thread)
    }

    fn run(mut self, inbox: &Inbox<S, E>, mut execute: impl FnMut(&S, ClockReading, F)) {
        let mut next_tick = Duration::ZERO;
        loop {
            let now = self.clock.now();
            if now.elapsed >= next_tick {
                next_tick = now.elapsed + self.tick_interval;
                inbox
                    .last_tick_ms
                    .store(millis(now.elapsed), Ordering::Relaxed);
                self.handle_event(now, (self.tick_event)(), &mut execute);
            }
            let wait = next_tick.saturating_sub(self.clock.now().elapsed);
            match inbox.rx.recv_timeout(wait) {
                Ok(Message::Event(event)) => {
                    self.handle_event(self.clock.now(), event, &mut execute)
                }
                Ok(Message::Query(query)) => query(&self.state, self.clock.now()),
                Ok(Message::Pause(duration)) => std::thread::sleep(duration),
                Ok(Message::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Err(RecvTimeoutError::Timeout) => {}
            }
        }
    }

    fn handle_event(
        &mut self,
        now: ClockReading,
        event: E,
        execute: &mut impl FnMut(&S, ClockReading, F),
    ) {
        for effect in (self.reducer)(&mut self.state, now, event) {
            execute(&self.state, now, effect);
        }
    }
}
