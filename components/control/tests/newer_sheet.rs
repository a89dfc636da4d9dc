//! Tests how an agent handles pieces that arrive after the sheet has named another version.

#[expect(dead_code, reason = "shared with the other tests of the reducers")]
mod common;

use common::{
    agent,
    at,
    sheet,
    sheet_events, //
};
use control::agent::{
    Event,
    Options,
    State, //
};
use utils::digest::Digest;
use weights::{
    Manifest,
    Source, //
};

/// The manifest of a version with four chunks.
fn manifest(version: &str) -> Manifest {
    let content: Vec<u8> = version.bytes().cycle().take(40).collect();
    Manifest::from_content("m".into(), version.into(), &content, 10)
}

/// The digest that the sheet of a version gives for its manifest.
fn digest(version: &str) -> Digest {
    Digest::of(version.as_bytes())
}

fn name_version(state: &mut State, sheet_version: u64, version: &str) {
    let mut sheet = sheet(sheet_version, "in");
    let model = sheet.models.get_mut("m").unwrap();
    model.version = version.into();
    model.manifest = digest(version);
    for event in sheet_events(&sheet) {
        state.step(at(sheet_version), Event::Follow(event));
    }
}

fn held_pieces(state: &State) -> usize {
    state.current_transfer().unwrap().progress().0
}

#[test]
fn pieces_of_the_former_version_do_not_count_as_held() {
    struct Case {
        name: &'static str,
        event: weights::Event,
    }
    let cases = [
        Case {
            name: "manifest",
            event: weights::Event::ManifestReceived(Source::Origin, manifest("v2")),
        },
        Case {
            name: "chunk",
            event: weights::Event::ChunkReceived(1, Source::Origin),
        },
    ];
    for case in cases {
        let mut state = agent("m1", 1, Options::default(), &sheet(1, "in"));
        name_version(&mut state, 2, "v2");
        name_version(&mut state, 3, "v3");
        if case.name == "chunk" {
            let received = weights::Event::ManifestReceived(Source::Origin, manifest("v3"));
            state.step(at(4), Event::Fetched(digest("v3"), received));
        }
        let held = held_pieces(&state);
        state.step(at(5), Event::Fetched(digest("v2"), case.event.clone()));
        assert_eq!(held_pieces(&state), held, "{}", case.name);
        state.step(at(6), Event::Fetched(digest("v3"), case.event));
        assert_eq!(
            held_pieces(&state),
            held + 1,
            "{}: of the new one",
            case.name
        );
    }
}
