//! The faults of model engines: slow calls, silences, new starts, and staged pieces that become corrupt.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use tokio::time::Instant;

use crate::standin::engine::{
    piece_bytes,
    Delays,
    Target,
    PIECES_PER_VERSION,
    PIECE_BYTES, //
};

/// What can go wrong in a run. Each time is the longest that is drawn.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    pub name: &'static str,
    delays: Delays,
    silence: Duration,
    restarts: bool,
    corruption: bool,
    /// How long the store takes for an answer.
    pub store_time: Duration,
}

const SOUND_ENGINES: Case = Case {
    name: "sound engines",
    delays: Delays::NONE,
    silence: Duration::ZERO,
    restarts: false,
    corruption: false,
    store_time: Duration::ZERO,
};

const CORRUPT_PIECES: Case = Case {
    name: "corrupt pieces",
    corruption: true,
    ..SOUND_ENGINES
};

/// Each seed draws one of them. Calls of an agent to its engine are given up after 1.5 s, so that some of the
/// delays are shorter and some longer than that.
const CASES: [Case; 10] = [
    SOUND_ENGINES,
    CORRUPT_PIECES,
    Case {
        name: "slowly returned pieces",
        delays: Delays {
            reading: Duration::from_millis(1200),
            ..Delays::NONE
        },
        ..CORRUPT_PIECES
    },
    Case {
        name: "late acceptance",
        delays: Delays {
            reading: Duration::from_millis(250),
            order: Duration::from_millis(6000),
            ..Delays::NONE
        },
        ..CORRUPT_PIECES
    },
    Case {
        name: "late reports",
        delays: Delays {
            report: Duration::from_millis(2000),
            ..Delays::NONE
        },
        restarts: true,
        ..CORRUPT_PIECES
    },
    Case {
        name: "late answers",
        delays: Delays {
            answer: Duration::from_millis(2000),
            ..Delays::NONE
        },
        ..CORRUPT_PIECES
    },
    Case {
        name: "silences",
        delays: Delays {
            silence_at_order: Duration::from_millis(8000),
            ..Delays::NONE
        },
        silence: Duration::from_millis(8000),
        ..CORRUPT_PIECES
    },
    Case {
        name: "new starts",
        delays: Delays {
            reading: Duration::from_millis(250),
            order: Duration::from_millis(1500),
            ..Delays::NONE
        },
        restarts: true,
        ..CORRUPT_PIECES
    },
    Case {
        name: "slow store",
        store_time: Duration::from_millis(2500),
        ..CORRUPT_PIECES
    },
    Case {
        name: "all of these",
        delays: Delays {
            reading: Duration::from_millis(400),
            order: Duration::from_millis(2500),
            report: Duration::from_millis(800),
            answer: Duration::from_millis(800),
            silence_at_order: Duration::from_millis(8000),
        },
        silence: Duration::from_millis(4000),
        restarts: true,
        corruption: true,
        store_time: Duration::from_millis(1500),
    },
];

impl Case {
    pub fn draw(rng: &mut Pcg64Mcg) -> &'static Self {
        &CASES[rng.random_range(0..CASES.len())]
    }

    fn has_delays(&self) -> bool {
        let delays = &self.delays;
        let all = [
            delays.reading,
            delays.order,
            delays.report,
            delays.answer,
            delays.silence_at_order,
        ];
        all.iter().any(|delay| !delay.is_zero())
    }

    fn draw_delays(&self, rng: &mut Pcg64Mcg) -> Delays {
        Delays {
            reading: draw_time(rng, self.delays.reading),
            order: draw_time(rng, self.delays.order),
            report: draw_time(rng, self.delays.report),
            answer: draw_time(rng, self.delays.answer),
            silence_at_order: draw_time(rng, self.delays.silence_at_order),
        }
    }

    fn draw_fault(&self, rng: &mut Pcg64Mcg) -> Option<EngineFault> {
        let piece = rng.random_range(0..PIECES_PER_VERSION);
        let fault = match rng.random_range(0..8) {
            0 | 1 if self.has_delays() => EngineFault::Delays(self.draw_delays(rng)),
            2 if !self.silence.is_zero() => EngineFault::Silence(draw_time(rng, self.silence)),
            3 if self.restarts => EngineFault::Restart,
            _ if !self.corruption => return None,
            4 => EngineFault::DropPiece(piece),
            5 | 6 => draw_corruption_after_reading(rng),
            _ => EngineFault::ReplacePiece(piece, draw_wrong_bytes(rng, piece)),
        };
        Some(fault)
    }
}

/// Draws a time up to the longest. Every fourth is zero.
pub fn draw_time(rng: &mut Pcg64Mcg, longest: Duration) -> Duration {
    let share: f64 = rng.random_range(-0.33..1.0);
    longest.mul_f64(share.max(0.0))
}

/// Draws the bytes of an old version, or bytes of no version.
fn draw_wrong_bytes(rng: &mut Pcg64Mcg, piece: u64) -> Vec<u8> {
    if rng.random_bool(0.2) {
        return piece_bytes(1, piece);
    }
    vec![b'x'; rng.random_range(0..=PIECE_BYTES)]
}

/// Draws a piece that becomes corrupt after it was read. Often it is read early, so that its reading is old when
/// the last piece was read, and often this happens so many times that each order finds it corrupt.
fn draw_corruption_after_reading(rng: &mut Pcg64Mcg) -> EngineFault {
    let piece = rng
        .random_range(0..PIECES_PER_VERSION)
        .min(rng.random_range(0..PIECES_PER_VERSION));
    let times = [1, 3, 10, 30];
    EngineFault::CorruptAfterReading(piece, times[rng.random_range(0..times.len())])
}

#[derive(Clone, Debug)]
enum EngineFault {
    Delays(Delays),
    Silence(Duration),
    Restart,
    ReplacePiece(u64, Vec<u8>),
    DropPiece(u64),
    /// The piece becomes corrupt right after it was read, as often as given.
    CorruptAfterReading(u64, u32),
}

impl EngineFault {
    fn apply(&self, engine: &Target) {
        match self {
            Self::Delays(delays) => engine.set_delays(*delays),
            Self::Silence(silence) => engine.fall_silent(*silence),
            Self::Restart => engine.restart(),
            Self::ReplacePiece(piece, data) => engine.replace_staged_piece(*piece, data.clone()),
            Self::DropPiece(piece) => engine.drop_staged_piece(*piece),
            Self::CorruptAfterReading(piece, times) => engine.corrupt_after_reading(*piece, *times),
        }
    }

    fn description(&self) -> String {
        match self {
            Self::ReplacePiece(piece, data) => {
                format!("piece {piece} becomes {} wrong bytes", data.len())
            }
            other => format!("{other:?}"),
        }
    }
}

/// The faults of the engines of a run.
pub struct EngineFaults {
    pub case: &'static Case,
    /// Faults that are to come: when, the number of the engine, and which.
    scheduled: Vec<(Instant, usize, EngineFault)>,
    /// The engines that had a fault.
    disturbed: BTreeSet<usize>,
}

/// The longest pause between two faults of a series.
const SERIES_PAUSE_MS: u64 = 1500;

impl EngineFaults {
    pub fn new(case: &'static Case) -> Self {
        Self {
            case,
            scheduled: Vec::new(),
            disturbed: BTreeSet::new(),
        }
    }

    pub fn is_disturbed(&self, engine: usize) -> bool {
        self.disturbed.contains(&engine)
    }

    /// Draws the delays that each engine begins with.
    pub fn schedule_delays(&mut self, rng: &mut Pcg64Mcg, engines: usize) {
        for engine in (0..engines).filter(|_| self.case.has_delays()) {
            let fault = EngineFault::Delays(self.case.draw_delays(rng));
            self.scheduled.push((Instant::now(), engine, fault));
        }
    }

    /// Lets pieces of a version that was just named become corrupt after they were verified.
    pub fn schedule_corruption(&mut self, rng: &mut Pcg64Mcg, engines: usize) {
        for engine in (0..engines).filter(|_| self.case.corruption) {
            let fault = draw_corruption_after_reading(rng);
            self.scheduled.push((Instant::now(), engine, fault));
        }
    }

    /// Schedules a series of faults of one engine.
    pub fn schedule_series(&mut self, rng: &mut Pcg64Mcg, engine: usize) {
        let mut at = Instant::now();
        for _ in 0..rng.random_range(1..=5) {
            if let Some(fault) = self.case.draw_fault(rng) {
                self.scheduled.push((at, engine, fault));
            }
            at += Duration::from_millis(rng.random_range(0..SERIES_PAUSE_MS));
        }
    }

    /// Injects the faults that are due, and describes them.
    pub fn inject_due(&mut self, engines: &[Target]) -> Vec<String> {
        let now = Instant::now();
        let is_due = |(at, _, _): &mut (Instant, usize, EngineFault)| *at <= now;
        let due: Vec<_> = self.scheduled.extract_if(.., is_due).collect();
        for (_, engine, fault) in &due {
            fault.apply(&engines[*engine]);
            self.disturbed.insert(*engine);
        }
        let due = due.iter();
        due.map(|(_, engine, fault)| format!("engine {engine}: {}", fault.description()))
            .collect()
    }

    /// Ends all faults, except that calls that are held are still handled late.
    pub fn end(&mut self, engines: &[Target]) {
        self.scheduled.clear();
        for engine in engines {
            engine.end_delays();
        }
    }
}
