//! The control thread: one reducer, fed by a channel.

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
    Now, //
};

use crate::error::ProxyError;

type Question<S> = Box<dyn FnOnce(&S, Now) + Send>;

enum Message<S, E> {
    Event(E),
    Question(Question<S>),
    Pause(Duration),
    Stop,
}

/// A control thread that has not looked at the time for this long stands still.
const ASLEEP_AFTER: Duration = Duration::from_secs(1);

/// The way to the control thread of a process with state `S` and events `E`.
pub struct Control<S, E> {
    tx: Sender<Message<S, E>>,
    /// When the thread last looked at the time, in milliseconds.
    ticked: Arc<AtomicU64>,
}

impl<S, E> Clone for Control<S, E> {
    fn clone(&self) -> Self {
        Self {
            tx: self.tx.clone(),
            ticked: self.ticked.clone(),
        }
    }
}

impl<S, E> fmt::Debug for Control<S, E> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Control").finish_non_exhaustive()
    }
}

/// The receiving end of a control thread.
pub(crate) struct Inbox<S, E> {
    rx: Receiver<Message<S, E>>,
    ticked: Arc<AtomicU64>,
}

/// Makes the channel to a control thread.
pub(crate) fn control_channel<S, E>() -> (Control<S, E>, Inbox<S, E>) {
    let (tx, rx) = channel();
    let ticked = Arc::new(AtomicU64::new(0));
    let control = Control {
        tx,
        ticked: ticked.clone(),
    };
    (control, Inbox { rx, ticked })
}

impl<S, E> Control<S, E> {
    /// Tells the reducer of an event. A thread that has ended no longer needs to know.
    pub fn send(&self, event: E) {
        let _ended = self.tx.send(Message::Event(event));
    }

    /// Asks about the state. `None` if the control thread has ended.
    pub async fn query<R: Send + 'static>(
        &self,
        question: impl FnOnce(&S, Now) -> R + Send + 'static,
    ) -> Option<R> {
        let (tx, rx) = oneshot::channel();
        let question = Box::new(move |state: &S, now: Now| {
            let _asker_left = tx.send(question(state, now));
        });
        self.tx.send(Message::Question(question)).ok()?;
        rx.await.ok()
    }

    /// Stops the control thread for a while, as if the process were paused.
    pub fn pause(&self, length: Duration) {
        let _ended = self.tx.send(Message::Pause(length));
    }

    /// Whether the control thread has looked at the time lately.
    pub fn is_awake(&self, clock: &dyn Clock) -> bool {
        let ticked = Duration::from_millis(self.ticked.load(Ordering::Relaxed));
        clock.now().elapsed.saturating_sub(ticked) < ASLEEP_AFTER
    }

    /// Ends the control thread.
    pub fn stop(&self) {
        let _ended = self.tx.send(Message::Stop);
    }
}

/// How a control thread runs.
pub(crate) struct Reactor<S, E, F> {
    pub name: String,
    pub clock: Arc<dyn Clock>,
    pub tick: Duration,
    pub state: S,
    /// The reducer.
    pub step: fn(&mut S, Now, E) -> Vec<F>,
    /// The event that tells that time passed.
    pub tick_event: fn() -> E,
}

impl<S, E, F> Reactor<S, E, F>
where
    S: Send + 'static,
    E: Send + 'static,
    F: 'static,
{
    /// Starts the thread. `apply` carries out effects and must not block.
    pub fn start(
        self,
        inbox: Inbox<S, E>,
        apply: impl FnMut(&S, Now, F) + Send + 'static,
    ) -> Result<(), ProxyError> {
        std::thread::Builder::new()
            .name(self.name.clone())
            .spawn(move || self.run(&inbox, apply))
            .map(drop)
            .map_err(ProxyError::Thread)
    }

    fn run(mut self, inbox: &Inbox<S, E>, mut apply: impl FnMut(&S, Now, F)) {
        let mut next_tick = Duration::ZERO;
        loop {
            let now = self.clock.now();
            if now.elapsed >= next_tick {
                next_tick = now.elapsed + self.tick;
                let millis = u64::try_from(now.elapsed.as_millis()).unwrap_or(u64::MAX);
                inbox.ticked.store(millis, Ordering::Relaxed);
                self.react(now, (self.tick_event)(), &mut apply);
            }
            let wait = next_tick.saturating_sub(self.clock.now().elapsed);
            match inbox.rx.recv_timeout(wait) {
                Ok(Message::Event(event)) => self.react(self.clock.now(), event, &mut apply),
                Ok(Message::Question(question)) => question(&self.state, self.clock.now()),
                Ok(Message::Pause(length)) => std::thread::sleep(length),
                Ok(Message::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Err(RecvTimeoutError::Timeout) => {}
            }
        }
    }

    fn react(&mut self, now: Now, event: E, apply: &mut impl FnMut(&S, Now, F)) {
        for effect in (self.step)(&mut self.state, now, event) {
            apply(&self.state, now, effect);
        }
    }
}
