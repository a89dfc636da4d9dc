//! Queueing, refusing and placing under the loads that they answer, played without a network: a
//! model of engines that work in passes answers what the reducer sends.

mod engines;

use std::time::Duration;

use engines::{
    play,
    Load, //
};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn callers_get_their_first_event_on_time_while_engines_have_room() {
    let tally = play(&Load {
        engines: 4,
        per_second: 22.0,
        length: Duration::from_secs(20),
        ..Load::default()
    });
    assert_eq!(tally.refused, 0, "{tally:?}");
    assert!(tally.on_time * 100 >= tally.asked * 97, "{tally:?}");
}

#[test]
fn under_twice_the_load_the_engines_stay_useful() {
    let calm = play(&Load {
        engines: 4,
        per_second: 24.0,
        length: Duration::from_secs(20),
        ..Load::default()
    });
    let heavy = play(&Load {
        engines: 4,
        per_second: 64.0,
        length: Duration::from_secs(20),
        ..Load::default()
    });
    // What is served on time must not fall under the load that comes on top.
    assert!(
        heavy.on_time * 100 >= calm.on_time * 95,
        "{calm:?} {heavy:?}"
    );
    assert!(heavy.late * 10 <= heavy.on_time, "{heavy:?}");
    // A refusal comes before the answer would have been late.
    assert!(heavy.longest_refusal <= ms(450), "{heavy:?}");
}

#[test]
fn an_engine_that_comes_back_empty_is_filled_without_late_answers() {
    let tally = play(&Load {
        engines: 4,
        per_second: 30.0,
        length: Duration::from_secs(12),
        // The first engine takes nothing for two seconds.
        away: vec![(0, ms(4000), ms(6000))],
        ..Load::default()
    });
    assert!(tally.late * 20 <= tally.asked, "{tally:?}");
}

#[test]
fn processes_that_do_not_know_of_each_other_share_an_engine_that_comes_back() {
    let tally = play(&Load {
        engines: 6,
        entries: 4,
        per_second: 44.0,
        length: Duration::from_secs(16),
        away: vec![(0, ms(4000), ms(6000))],
        ..Load::default()
    });
    assert!(tally.late * 20 <= tally.asked, "{tally:?}");
}

#[test]
fn under_twice_the_load_several_processes_keep_the_engines_useful() {
    let heavy = play(&Load {
        engines: 6,
        entries: 4,
        per_second: 96.0,
        length: Duration::from_secs(20),
        ..Load::default()
    });
    // Six engines answer some 48 requests a second on time.
    assert!(heavy.on_time >= 48 * 20 * 8 / 10, "{heavy:?}");
    assert!(heavy.late * 5 <= heavy.on_time, "{heavy:?}");
}

#[test]
fn engines_that_come_back_one_after_the_other_are_not_crowded() {
    let turn = |i: usize| (i, ms(4000 + 600 * i as u64), ms(6300 + 600 * i as u64));
    let tally = play(&Load {
        engines: 6,
        entries: 4,
        per_second: 44.0,
        length: Duration::from_secs(12),
        away: (0..6).map(turn).collect(),
        ..Load::default()
    });
    assert!(tally.late * 20 <= tally.asked, "{tally:?}");
}

/// Most engines come back at about the same time to many processes, of which each knows only its
/// own requests. Agents that count for all of them keep the answers on time.
#[test]
fn engines_that_return_together_are_not_crowded_where_agents_reserve_places() {
    let returns = |engine| (engine, ms(1000), ms(5000 + 100 * engine as u64));
    let load = Load {
        engines: 8,
        entries: 11,
        per_second: 80.0,
        away: (0..6).map(returns).collect(),
        agents: true,
        ..Load::default()
    };
    let tally = play(&load);
    let answered = tally.on_time + tally.late;
    assert!(tally.late * 20 <= answered, "{tally:?}");
    assert!(tally.on_time * 2 >= tally.asked, "{tally:?}");
}

/// A third more comes than the engines bear, to many processes.
#[test]
fn under_overload_agents_that_reserve_places_keep_answers_on_time() {
    let load = Load {
        engines: 6,
        entries: 11,
        per_second: 90.0,
        agents: true,
        ..Load::default()
    };
    let tally = play(&load);
    let answered = tally.on_time + tally.late;
    assert!(tally.late * 20 <= answered, "{tally:?}");
    assert!(tally.on_time * 2 >= tally.asked, "{tally:?}");
    assert!(tally.longest_refusal <= ms(450), "{tally:?}");
}
