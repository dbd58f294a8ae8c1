//! What a head remembers of earlier acceptances.

use quickcheck::{Gen, QuickCheck};
use rail_config::{Head, segment::KEPT_RETIRED_SEGMENTS};

#[test]
fn a_head_tells_which_acceptances_came_before_it() {
    fn property(nonces: Vec<u64>, asked: u64) -> bool {
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
                    let other =
                        head.includes_acceptance(generation, asked) == Some(asked == accepted);
                    includes && other
                }
                None => head.generation - generation > 64,
            }
        }) && head.includes_acceptance(head.generation + 1, asked) == Some(false)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 4))
        .quickcheck(property as fn(Vec<u64>, u64) -> bool);
}

/// Heads that follow each other, with segments of these contents.
fn chain(contents: &[Vec<String>]) -> Vec<Head> {
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
fn a_deletable_segment_is_named_by_no_later_head() {
    fn property(picks: Vec<u8>) -> bool {
        let contents: Vec<Vec<String>> = picks
            .into_iter()
            .map(|pick| vec!["core".into(), format!("part{}", pick % 3)])
            .collect();
        let heads = chain(&contents);
        heads.iter().enumerate().all(|(number, head)| {
            let retired = &head.retired;
            heads[number..].iter().all(|later| retired.iter().all(|r| !later.segments.contains(r)))
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
    let heads = chain(&[contents("a"), contents("b"), contents("a")]);
    let names = |head: &Head| head.segments.clone();
    assert_eq!(names(&heads[1])[0], names(&heads[3])[0]);
    assert_ne!(names(&heads[1])[1], names(&heads[3])[1], "the name is not used again");
    assert_eq!(heads[3].retired, [names(&heads[1])[1].clone(), names(&heads[2])[1].clone()]);
}
