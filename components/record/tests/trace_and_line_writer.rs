//! Tests the trace of a request and the bounded writer of record lines.

use std::io::{
    self,
    Write, //
};
use std::sync::mpsc;
use std::time::Duration;

use record::{
    Decision,
    LineWriter,
    RecordChain,
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
        returned: false,
        lease_ms: 4100,
    }
}

#[test]
fn lines_of_earlier_releases_can_be_read() {
    let mut line = serde_json::to_value(turn_away("r-1", "overload")).unwrap();
    let added_later = line.as_object_mut().unwrap().remove("returned");
    assert!(added_later.is_some());
    let read: Decision = serde_json::from_value(line).unwrap();
    assert_eq!(read, turn_away("r-1", "overload"));
}

fn forward(path_ms: Option<u64>, path_age_ms: Option<u64>) -> Decision {
    Decision::Forward {
        request: "r-1".into(),
        route: "chat".into(),
        service: "engines".into(),
        team: None,
        target: "i-1".into(),
        attempt: 1,
        waited_ms: 0,
        lease_ms: 100,
        load: 0,
        asked: 0,
        way_ms: None,
        path_ms,
        path_age_ms,
        limit: None,
        version: None,
        without_key: None,
        missing_ms: None,
    }
}

fn exchange(sent_after_ms: Option<u64>, connected_ms: Option<u64>) -> Decision {
    Decision::Exchange {
        request: "r-1".into(),
        target: "i-1".into(),
        outcome: "answered".into(),
        took_ms: 500,
        sent_after_ms,
        connected_ms,
        first_ms: None,
        pause_ms: 0,
    }
}

/// Guards against measurements that make lines longer to which they do not apply, or that are lost when
/// a line is read.
#[test]
fn measurements_are_left_out_of_lines_to_which_they_do_not_apply() {
    struct Case {
        decision: Decision,
        /// The measurements in the line.
        expected: &'static str,
    }
    let cases = [
        Case {
            decision: forward(None, None),
            expected: "",
        },
        Case {
            decision: forward(Some(0), None),
            expected: "path_ms=0",
        },
        Case {
            decision: forward(Some(7), Some(900)),
            expected: "path_age_ms=900 path_ms=7",
        },
        Case {
            decision: exchange(None, None),
            expected: "",
        },
        Case {
            decision: exchange(Some(0), None),
            expected: "sent_after_ms=0",
        },
        Case {
            decision: exchange(Some(41), Some(40)),
            expected: "connected_ms=40 sent_after_ms=41",
        },
    ];
    const OPTIONAL: [&str; 4] = ["connected_ms", "path_age_ms", "path_ms", "sent_after_ms"];
    for case in cases {
        let line = serde_json::to_value(&case.decision).unwrap();
        let found = OPTIONAL.iter().filter_map(|name| {
            let value = line.get(name)?;
            Some(format!("{name}={value}"))
        });
        let found: Vec<String> = found.collect();
        assert_eq!(found.join(" "), case.expected);
        let read: Decision = serde_json::from_value(line).unwrap();
        assert_eq!(read, case.decision);
    }
}

#[test]
fn trace_contains_steps_with_prior_decisions() {
    let mut first = RecordChain::new("entry-1".into(), 1);
    let mut second = RecordChain::new("entry-2".into(), 1);
    let lease_expired = Decision::Lease {
        valid: false,
        age_ms: 4000,
    };
    let target_gone = Decision::TargetGone {
        target: "i-1".into(),
        reason: "taken off the list".into(),
    };
    let lines = [
        first.append(1000, 7, lease_expired.clone()),
        second.append(1100, 7, lease_expired.clone()),
        first.append(1200, 7, target_gone),
        first.append(1300, 7, turn_away("r-1", "stale_configuration")),
        first.append(1400, 7, turn_away("r-2", "stale_configuration")),
        second.append(1900, 8, turn_away("r-1", "overload")),
    ];
    let mut text = String::from("not a line\n12.5 entry-1 {\"at_ms\": cut off\n");
    for line in &lines {
        text.push_str(&format!("  3.14 entry {}\n", line.to_json()));
    }
    let mut trace = Trace::default();
    trace.add_lines(&text);
    assert_eq!(trace.unreadable_lines(), 1);
    let steps = trace.steps_of_request("r-1");
    assert_eq!(steps.len(), 2);
    let ages: Vec<u64> = steps[0]
        .prior_decisions
        .iter()
        .map(|prior| prior.age_ms)
        .collect();
    assert_eq!(ages, [300]);
    assert_eq!(steps[0].prior_decisions[0].decision, lease_expired);
    assert_eq!((&*steps[1].process, steps[1].configuration), ("entry-2", 8));
    assert!(steps[1].prior_decisions.is_empty());
    assert!(trace.steps_of_request("r-3").is_empty());
}

/// A writer that blocks until a message arrives or the sender is dropped.
struct BlockingWriter(mpsc::Receiver<()>);

impl Write for BlockingWriter {
    fn write(&mut self, data: &[u8]) -> io::Result<usize> {
        // An error means that the test has ended and dropped the sender.
        let _result = self.0.recv();
        Ok(data.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn blocked_output_neither_blocks_callers_nor_exceeds_its_buffer() {
    let (unblock, blocked) = mpsc::channel();
    let writer = LineWriter::start(BlockingWriter(blocked)).unwrap();
    let line = "x".repeat(1000);
    let accepted = (0..10_000).filter(|_| writer.write(&line)).count();
    // Of the 10 MB offered, 256 KiB may be buffered while as much is being written.
    assert!(accepted < 1200, "{accepted}");
    assert!(!writer.has_room_or_drop());
    assert!(writer.take_dropped_lines() >= 8000);
    assert_eq!(writer.take_dropped_lines(), 0);
    writer.close(Duration::from_millis(10));
    drop(unblock);
}

#[test]
fn close_writes_all_buffered_lines() {
    let (tx, rx) = mpsc::channel::<Vec<u8>>();
    struct ChannelWriter(mpsc::Sender<Vec<u8>>);
    impl Write for ChannelWriter {
        fn write(&mut self, data: &[u8]) -> io::Result<usize> {
            let _result = self.0.send(data.to_vec());
            Ok(data.len())
        }

        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }
    let writer = LineWriter::start(ChannelWriter(tx)).unwrap();
    assert!(writer.write("first"));
    assert!(writer.write("last"));
    writer.close(Duration::from_secs(60));
    let bytes: Vec<u8> = rx.try_iter().flatten().collect();
    assert_eq!(bytes, b"first\nlast\n");
}
