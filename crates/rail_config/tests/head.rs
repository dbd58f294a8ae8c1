//! History of a head: earlier acceptances and retired segments.

use quickcheck::{Gen, QuickCheck};
use rail_config::{Head, segment::KEPT_RETIRED_SEGMENTS};

#[test]
fn a_head_reports_which_acceptances_it_includes() {
    fn property(nonces: Vec<u64>, other_nonce: u64) -> bool {
        let nonces: Vec<u64> = nonces.into_iter().take(150).collect();
        let mut head = Head::default();
        for (number, nonce) in nonces.iter().enumerate() {
            let mut next = Head { generation: number as u64 + 1, nonce: *nonce, ..Head::default() };
            next.link_to_previous(&head);
            head = next;
        }
        (1..=nonces.len() as u64).all(|generation| {
            let accepted = nonces[generation as usize - 1];
            match head.includes_acceptance(generation, accepted) {
                Some(includes) => {
                    let is_other_recognized = head.includes_acceptance(generation, other_nonce)
                        == Some(other_nonce == accepted);
                    includes && is_other_recognized
                }
                None => head.generation - generation > 64,
            }
        }) && head.includes_acceptance(head.generation + 1, other_nonce) == Some(false)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 4))
        .quickcheck(property as fn(Vec<u64>, u64) -> bool);
}

/// Creates consecutive heads, each with segments of the given contents.
fn consecutive_heads(contents: &[Vec<String>]) -> Vec<Head> {
    let mut heads = vec![Head::default()];
    for (number, segments) in contents.iter().enumerate() {
        let nonce = number as u64 + 1;
        let mut next =
            Head { generation: nonce, segments: segments.clone(), nonce, ..Head::default() };
        next.link_to_previous(&heads[number]);
        heads.push(next);
    }
    heads
}

#[test]
fn no_later_head_names_a_retired_segment() {
    fn property(choices: Vec<u8>) -> bool {
        let contents: Vec<Vec<String>> = choices
            .into_iter()
            .map(|choice| vec!["core".into(), format!("part{}", choice % 3)])
            .collect();
        let heads = consecutive_heads(&contents);
        heads.iter().enumerate().all(|(number, head)| {
            let retired = &head.retired;
            heads[number..]
                .iter()
                .all(|later| retired.iter().all(|name| !later.segments.contains(name)))
                && head.deletable().len() == retired.len().saturating_sub(KEPT_RETIRED_SEGMENTS)
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 4))
        .quickcheck(property as fn(Vec<u8>) -> bool);
}

#[test]
fn a_dropped_segment_is_retired_and_an_unchanged_one_keeps_its_name() {
    let contents = |part: &str| vec!["core".to_owned(), part.to_owned()];
    let heads = consecutive_heads(&[contents("a"), contents("b"), contents("a")]);
    let names = |head: &Head| head.segments.clone();
    assert_eq!(names(&heads[1])[0], names(&heads[3])[0]);
    assert_ne!(
        names(&heads[1])[1],
        names(&heads[3])[1],
        "the name of a dropped segment is not used again"
    );
    assert_eq!(heads[3].retired, [names(&heads[1])[1].clone(), names(&heads[2])[1].clone()]);
}
