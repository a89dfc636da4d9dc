//! Tests which pieces the layers of a version have.

use weights::Manifest;

/// Guards against the check of too few pieces before an engine loads a layer.
#[test]
fn layer_has_all_pieces_that_contain_a_part_of_it() {
    struct Case {
        chunks: usize,
        layers: u32,
        layer: u32,
        pieces: std::ops::Range<u32>,
    }
    let case = |chunks, layers, layer, pieces| Case {
        chunks,
        layers,
        layer,
        pieces,
    };
    let cases = [
        case(64, 16, 0, 1..5),
        case(64, 16, 15, 61..65),
        case(10, 4, 0, 1..4),
        case(10, 4, 1, 3..6),
        case(10, 4, 3, 8..11),
        case(3, 1, 0, 1..4),
        case(2, 4, 1, 1..2),
    ];
    for case in cases {
        let content = vec![0; case.chunks];
        let manifest = Manifest {
            layers: case.layers,
            ..Manifest::from_content("m".into(), "1".into(), &content, 1)
        };
        let name = format!(
            "{} chunks, layer {} of {}",
            case.chunks, case.layer, case.layers
        );
        assert_eq!(manifest.layer_pieces(case.layer), case.pieces, "{name}");
    }
}
