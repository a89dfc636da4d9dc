//! Lines of processes on the platform: bounded, chained, and read back as a request's story.

use std::io::{
    self,
    Write, //
};
use std::sync::mpsc;
use std::time::Duration;

use record::{
    Chain,
    Decision,
    Output,
    Trace, //
};

fn turn_away(request: &str, reason: &str) -> Decision {
    Decision::TurnAway {
        request: request.into(),
        route: Some("chat".into()),
        reason: reason.into(),
        not_run: true,
        retry_after_ms: Some(300),
        held_ms: 0,
        attempts: 0,
        lease_ms: 4100,
    }
}

#[test]
fn a_story_holds_the_steps_and_what_led_to_them() {
    let mut one = Chain::new("entry-1".into(), 1);
    let mut other = Chain::new("entry-2".into(), 1);
    let lost = Decision::Lease {
        valid: false,
        age_ms: 4000,
    };
    let gone = Decision::TargetGone {
        target: "i-1".into(),
        reason: "taken off the list".into(),
    };
    let lines = [
        one.append(1000, 7, lost.clone()),
        other.append(1100, 7, lost.clone()),
        one.append(1200, 7, gone),
        one.append(1300, 7, turn_away("r-1", "stale_configuration")),
        one.append(1400, 7, turn_away("r-2", "stale_configuration")),
        other.append(1900, 8, turn_away("r-1", "overload")),
    ];
    let mut text = String::from("not a line\n12.5 entry-1 {\"at_ms\": cut off\n");
    for line in &lines {
        text.push_str(&format!("  3.14 entry {}\n", line.to_json()));
    }
    let mut trace = Trace::default();
    trace.read(&text);
    assert_eq!(trace.unreadable(), 1);
    let steps = trace.steps("r-1");
    assert_eq!(steps.len(), 2);
    let ages: Vec<u64> = steps[0].beliefs.iter().map(|b| b.age_ms).collect();
    assert_eq!(ages, [300]);
    assert_eq!(steps[0].beliefs[0].decision, lost);
    assert_eq!((&*steps[1].process, steps[1].configuration), ("entry-2", 8));
    assert!(steps[1].beliefs.is_empty());
    assert!(trace.steps("r-3").is_empty());
}

/// Stands still until it is told to go on.
struct Stuck(mpsc::Receiver<()>);

impl Write for Stuck {
    fn write(&mut self, data: &[u8]) -> io::Result<usize> {
        // The test is over if nobody tells.
        let _over = self.0.recv();
        Ok(data.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn an_output_that_nobody_reads_neither_blocks_nor_grows() {
    let (go_on, stuck) = mpsc::channel();
    let output = Output::start(Stuck(stuck)).unwrap();
    let line = "x".repeat(1000);
    let taken = (0..10_000).filter(|_| output.write(&line)).count();
    // Ten megabytes were offered; some hundreds of kilobytes may wait, and as much is being written.
    assert!(taken < 1200, "{taken}");
    assert!(!output.has_room());
    assert!(output.take_dropped() >= 8000);
    assert_eq!(output.take_dropped(), 0);
    output.flush(Duration::from_millis(10));
    drop(go_on);
}

#[test]
fn what_was_written_is_flushed_at_the_end() {
    let (tx, rx) = mpsc::channel::<Vec<u8>>();
    struct Tell(mpsc::Sender<Vec<u8>>);
    impl Write for Tell {
        fn write(&mut self, data: &[u8]) -> io::Result<usize> {
            let _sent = self.0.send(data.to_vec());
            Ok(data.len())
        }

        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }
    let output = Output::start(Tell(tx)).unwrap();
    assert!(output.write("first"));
    assert!(output.write("last"));
    output.flush(Duration::from_secs(60));
    let bytes: Vec<u8> = rx.try_iter().flatten().collect();
    assert_eq!(bytes, b"first\nlast\n");
}
