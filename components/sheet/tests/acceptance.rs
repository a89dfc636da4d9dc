//! Acceptance of sheets whose messages are delayed, lost, duplicated and reordered.

use proptest::prelude::*;
use sheet::{
    pack,
    parse,
    Acceptance,
    Offer,
    Packed,
    Sheet, //
};

/// A sheet whose sections all differ between versions, so that a mix of versions is detected.
fn sheet(version: u64, content: u64) -> Sheet {
    let text = format!(
        "{{version: {version}, published: 2026-12-03T06:00:00Z, origin_region: r, \
         data_centres: {{a: {{region: r, state: in}}}}, \
         teams: {{t{version}x{content}: {{share: 1}}}}, \
         services: {{s: {{limit: {version}, instances: {{a: [i{version}]}}}}}}, \
         leaving: [i{version}]}}"
    );
    parse(&text).unwrap()
}

#[derive(Clone, Debug)]
enum Message {
    Index(u64),
    Section(u64, usize),
    Garbage,
}

fn message() -> impl Strategy<Value = Message> {
    prop_oneof![
        3 => (1_u64..6).prop_map(Message::Index),
        8 => (1_u64..6, 0_usize..4).prop_map(|(v, s)| Message::Section(v, s)),
        1 => Just(Message::Garbage),
    ]
}

fn deliver(acceptance: &mut Acceptance, packed: &[Packed], message: &Message) -> Offer {
    match message {
        Message::Index(version) => acceptance.offer_index(&packed[*version as usize].index),
        Message::Section(version, section) => {
            let sections: Vec<_> = packed[*version as usize].sections.values().collect();
            acceptance.offer_section(sections[section % sections.len()])
        }
        Message::Garbage => acceptance.offer_index(b"version: [not a sheet"),
    }
}

proptest! {
    #[test]
    fn the_active_sheet_is_complete_and_its_version_never_decreases(
        messages in prop::collection::vec(message(), 0..200),
    ) {
        let packed: Vec<Packed> = (0..6).map(|v| pack(&sheet(v.max(1), 0))).collect();
        let mut acceptance = Acceptance::default();
        let mut last = 0;
        for message in &messages {
            deliver(&mut acceptance, &packed, message);
            let version = acceptance.version();
            prop_assert!(version >= last);
            last = version;
            if let Some(found) = acceptance.sheet() {
                prop_assert_eq!(&**found, &sheet(version, 0));
            }
        }
    }

    #[test]
    fn the_newest_sheet_becomes_active_once_all_its_messages_arrive(
        messages in prop::collection::vec(message(), 0..60),
    ) {
        let packed: Vec<Packed> = (0..6).map(|v| pack(&sheet(v.max(1), 0))).collect();
        let mut acceptance = Acceptance::default();
        for message in &messages {
            deliver(&mut acceptance, &packed, message);
        }
        deliver(&mut acceptance, &packed, &Message::Index(5));
        for section in 0..4 {
            deliver(&mut acceptance, &packed, &Message::Section(5, section));
        }
        prop_assert_eq!(acceptance.version(), 5);
    }
}

fn accept(acceptance: &mut Acceptance, sheet: &Sheet) -> Offer {
    let packed = pack(sheet);
    let mut offer = acceptance.offer_index(&packed.index);
    for text in packed.sections.values() {
        if matches!(offer, Offer::Missing(_)) {
            offer = acceptance.offer_section(text);
        }
    }
    offer
}

#[test]
fn the_same_version_with_other_content_is_rejected_with_an_error() {
    let mut acceptance = Acceptance::default();
    assert!(matches!(
        accept(&mut acceptance, &sheet(2, 0)),
        Offer::Accepted(_)
    ));
    let offer = accept(&mut acceptance, &sheet(2, 1));
    let Offer::Refused(e) = offer else {
        panic!("{offer:?}");
    };
    assert!(e.to_string().contains("version 2"), "{e}");
    assert_eq!(**acceptance.sheet().unwrap(), sheet(2, 0));
}

#[test]
fn an_older_sheet_is_ignored_and_unchanged_sections_are_not_missing() {
    let mut acceptance = Acceptance::default();
    accept(&mut acceptance, &sheet(3, 0));
    assert_eq!(accept(&mut acceptance, &sheet(2, 0)), Offer::Older);
    let mut next = sheet(3, 0);
    next.version = 4;
    next.leaving.clear();
    let offer = acceptance.offer_index(&pack(&next).index);
    let Offer::Missing(missing) = offer else {
        panic!("{offer:?}");
    };
    assert_eq!(missing.len(), 1);
}

#[test]
fn a_sheet_with_an_invalid_section_leaves_the_active_sheet_unchanged() {
    let mut acceptance = Acceptance::default();
    accept(&mut acceptance, &sheet(3, 0));
    let mut bad = sheet(4, 0);
    bad.teams.get_mut("t4x0").unwrap().share = 0;
    let offer = accept(&mut acceptance, &bad);
    assert!(matches!(offer, Offer::Refused(_)), "{offer:?}");
    assert_eq!(acceptance.version(), 3);
    assert!(acceptance.refusal().unwrap().to_string().contains("share"));
    assert!(matches!(
        accept(&mut acceptance, &sheet(5, 0)),
        Offer::Accepted(_)
    ));
    assert_eq!(acceptance.refusal(), None);
}
