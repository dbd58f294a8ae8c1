//! Open-loop arrivals from a seed.

use crate::profile::{Profile, Shift, Traffic};
use rand::{Rng, SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, Zipf};
use std::time::Duration;

/// Rank of the adapter that a flash crowd asks for.
const FLASH_RANK: usize = 2000;
/// Arrivals a second of a flash crowd.
const FLASH_RATE_PER_S: f64 = 20.0;
/// Length of a flash crowd.
const FLASH_TIME: Duration = Duration::from_secs(60);
/// Factor on urgent arrivals at night.
const NIGHT_URGENT: f64 = 0.25;
/// Factor on deferrable arrivals at night.
const NIGHT_DEFERRABLE: f64 = 1.5;

/// Result of making a trace.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a trace can't be made.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The popularity is not valid.
    #[error(transparent)]
    Zipf(#[from] rand_distr::ZipfError),
    /// The arrival rate is not valid.
    #[error(transparent)]
    Rate(#[from] rand_distr::ExpError),
}

/// One request of a trace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// When it arrives.
    pub at: Duration,
    /// Number of its adapter.
    pub adapter: usize,
    /// Whether somebody waits for the answer.
    pub urgent: bool,
}

/// Makes the arrivals of a profile, in order.
///
/// # Errors
/// Refuses rates and exponents that are not positive.
pub fn arrivals(profile: &Profile, shift: Shift, seed: u64) -> Result<Vec<Arrival>> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut before: Vec<usize> = (0..profile.adapters).collect();
    before.shuffle(&mut random);
    let mut after = before.clone();
    if shift == Shift::Reshuffle {
        after.shuffle(&mut random);
    }
    let zipf = Zipf::new(profile.adapters as f64, profile.zipf_exponent)?;
    let mut trace = Vec::new();
    for (urgent, traffic) in [(true, profile.urgent), (false, profile.deferrable)] {
        for at in times(profile, shift, urgent, traffic, &mut random)? {
            let rank = zipf.sample(&mut random) as usize - 1;
            let ranks = if at < profile.shift_at() { &before } else { &after };
            trace.push(Arrival { at, adapter: ranks[rank], urgent });
        }
    }
    if shift == Shift::FlashCrowd {
        let adapter = before[FLASH_RANK.min(profile.adapters - 1)];
        let end = profile.shift_at() + FLASH_TIME;
        let times = poisson(profile.shift_at(), end, FLASH_RATE_PER_S, &mut random)?;
        trace.extend(times.into_iter().map(|at| Arrival { at, adapter, urgent: true }));
    }
    trace.sort_by_key(|arrival| arrival.at);
    Ok(trace)
}

fn times(
    profile: &Profile,
    shift: Shift,
    urgent: bool,
    traffic: Traffic,
    random: &mut impl Rng,
) -> Result<Vec<Duration>> {
    let factor = match (shift, urgent) {
        (Shift::Night, true) => NIGHT_URGENT,
        (Shift::Night, false) => NIGHT_DEFERRABLE,
        _ => 1.0,
    };
    let mut times = poisson(Duration::ZERO, profile.shift_at(), traffic.rate_per_s, random)?;
    let rate_per_s = traffic.rate_per_s * factor;
    times.extend(poisson(profile.shift_at(), profile.end(), rate_per_s, random)?);
    Ok(times)
}

fn poisson(
    start: Duration,
    end: Duration,
    rate_per_s: f64,
    random: &mut impl Rng,
) -> Result<Vec<Duration>> {
    let gaps = Exp::new(rate_per_s)?;
    let mut times = Vec::new();
    let mut at = start;
    loop {
        at += Duration::from_secs_f64(gaps.sample(random));
        if at >= end {
            return Ok(times);
        }
        times.push(at);
    }
}
