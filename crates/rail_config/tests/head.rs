//! What a head remembers of earlier acceptances.

use quickcheck::{Gen, QuickCheck};
use rail_config::Head;

#[test]
fn a_head_tells_which_acceptances_came_before_it() {
    fn property(nonces: Vec<u64>, asked: u64) -> bool {
        let nonces: Vec<u64> = nonces.into_iter().take(150).collect();
        let mut head = Head::default();
        for (number, nonce) in nonces.iter().enumerate() {
            let mut next = Head { generation: number as u64 + 1, nonce: *nonce, ..Head::default() };
            next.follow(&head);
            head = next;
        }
        (1..=nonces.len() as u64).all(|generation| {
            let accepted = nonces[generation as usize - 1];
            match head.includes(generation, accepted) {
                Some(includes) => {
                    let other = head.includes(generation, asked) == Some(asked == accepted);
                    includes && other
                }
                None => head.generation - generation > 64,
            }
        }) && head.includes(head.generation + 1, asked) == Some(false)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 4))
        .quickcheck(property as fn(Vec<u64>, u64) -> bool);
}
