//! Open-loop arrivals, generated from a seed.

use crate::profile::{Profile, Shift, Traffic};
use rand::{Rng, SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, Zipf};
use std::time::Duration;

/// Popularity rank of the adapter that a flash crowd requests.
const FLASH_CROWD_RANK: usize = 2000;
/// Arrivals a second of a flash crowd.
const FLASH_CROWD_RATE_PER_S: f64 = 20.0;
/// Duration of a flash crowd.
const FLASH_CROWD_DURATION: Duration = Duration::from_secs(60);
/// Factor on the rate of urgent arrivals after the shift to night.
const NIGHT_URGENT_FACTOR: f64 = 0.25;
/// Factor on the rate of deferrable arrivals after the shift to night.
const NIGHT_DEFERRABLE_FACTOR: f64 = 1.5;

/// Result of generating a trace.
pub type Result<T> = std::result::Result<T, Error>;

/// Error of generating a trace.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The number of adapters or the Zipf exponent is not valid.
    #[error(transparent)]
    Zipf(#[from] rand_distr::ZipfError),
    /// The arrival rate is not valid.
    #[error(transparent)]
    Rate(#[from] rand_distr::ExpError),
}

/// One request of a trace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// Arrival time from the start of the trace.
    pub at: Duration,
    /// Number of the requested adapter.
    pub adapter: usize,
    /// Whether the request is urgent rather than deferrable.
    pub urgent: bool,
}

/// Generates the arrivals of a profile, ordered by time.
///
/// # Errors
/// Returns an error if a rate or the Zipf exponent is not valid.
pub fn arrivals(profile: &Profile, shift: Shift, seed: u64) -> Result<Vec<Arrival>> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut ranking_before: Vec<usize> = (0..profile.adapters).collect();
    ranking_before.shuffle(&mut random);
    let mut ranking_after = ranking_before.clone();
    if shift == Shift::Reshuffle {
        ranking_after.shuffle(&mut random);
    }
    let zipf = Zipf::new(profile.adapters as f64, profile.zipf_exponent)?;
    let mut trace = Vec::new();
    for (urgent, traffic) in [(true, profile.urgent), (false, profile.deferrable)] {
        for at in arrival_times(profile, shift, urgent, traffic, &mut random)? {
            let rank = zipf.sample(&mut random) as usize - 1;
            let ranking = if at < profile.shift_at() { &ranking_before } else { &ranking_after };
            trace.push(Arrival { at, adapter: ranking[rank], urgent });
        }
    }
    if shift == Shift::FlashCrowd {
        let adapter = ranking_before[FLASH_CROWD_RANK.min(profile.adapters - 1)];
        let end = profile.shift_at() + FLASH_CROWD_DURATION;
        let times = poisson_arrivals(profile.shift_at(), end, FLASH_CROWD_RATE_PER_S, &mut random)?;
        trace.extend(times.into_iter().map(|at| Arrival { at, adapter, urgent: true }));
    }
    trace.sort_by_key(|arrival| arrival.at);
    Ok(trace)
}

/// Generates the arrival times of one urgency class over the whole trace.
fn arrival_times(
    profile: &Profile,
    shift: Shift,
    urgent: bool,
    traffic: Traffic,
    random: &mut impl Rng,
) -> Result<Vec<Duration>> {
    let factor = match (shift, urgent) {
        (Shift::Night, true) => NIGHT_URGENT_FACTOR,
        (Shift::Night, false) => NIGHT_DEFERRABLE_FACTOR,
        _ => 1.0,
    };
    let mut times =
        poisson_arrivals(Duration::ZERO, profile.shift_at(), traffic.rate_per_s, random)?;
    let rate_per_s = traffic.rate_per_s * factor;
    times.extend(poisson_arrivals(profile.shift_at(), profile.end(), rate_per_s, random)?);
    Ok(times)
}

/// Generates the arrival times of a Poisson process between `start` and `end`.
fn poisson_arrivals(
    start: Duration,
    end: Duration,
    rate_per_s: f64,
    random: &mut impl Rng,
) -> Result<Vec<Duration>> {
    let intervals = Exp::new(rate_per_s)?;
    let mut times = Vec::new();
    let mut at = start;
    loop {
        at += Duration::from_secs_f64(intervals.sample(random));
        if at >= end {
            return Ok(times);
        }
        times.push(at);
    }
}
