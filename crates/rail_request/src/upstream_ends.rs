//! Ends of upstreams in a quarantine record: adding, comparing and sending them.

use crate::quarantine::{EndProof, UpstreamEnd};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Ends of upstreams in trials that a record names; further ones add nothing.
const MAX_TRIAL_ENDS: usize = 6;
/// Other ends that a record names. All of them count as one crash, but show which upstreams had
/// ended before other requests were sent there.
const MAX_OTHER_ENDS: usize = 6;
/// Turns the time of an end into its age, or the age into the time.
pub(crate) fn switch_clock(end: &UpstreamEnd, now_ms: u64) -> UpstreamEnd {
    let noticed_at_ms = now_ms.saturating_sub(end.noticed_at_ms);
    UpstreamEnd { noticed_at_ms, ..end.clone() }
}

/// Adds an end, or the proof of a known one. Returns whether that changed anything.
pub(crate) fn push_end(ends: &mut Vec<UpstreamEnd>, end: UpstreamEnd) -> bool {
    if let Some(known) = ends.iter_mut().find(|known| known.is_same_process(&end)) {
        let before = (known.proof, known.is_trial);
        known.proof = known.proof.max(end.proof);
        known.is_trial |= end.is_trial;
        known.noticed_at_ms = known.noticed_at_ms.min(end.noticed_at_ms);
        return (known.proof, known.is_trial) != before;
    }
    let max = if end.is_trial { MAX_TRIAL_ENDS } else { MAX_OTHER_ENDS };
    let is_alike = |known: &UpstreamEnd| known.is_trial == end.is_trial;
    if ends.iter().filter(|known| is_alike(known)).count() < max {
        ends.push(end);
        return true;
    }
    let less_certain = ends.iter_mut().find(|known| is_alike(known) && known.proof < end.proof);
    let is_proven = end.proof == EndProof::Proven;
    let Some(replaced) = less_certain.filter(|_| is_proven) else { return false };
    *replaced = end;
    true
}

/// Returns whether hosts agree on ends.
pub(crate) fn same_ends(ends: &[UpstreamEnd], others: &[UpstreamEnd]) -> bool {
    ends_digest(ends) == ends_digest(others)
}

/// Returns a hash of what hosts must agree on about ends. Of those outside trials, which count as
/// one crash, hosts may keep different ones.
pub(crate) fn ends_digest(ends: &[UpstreamEnd]) -> u64 {
    let (trials, others): (Vec<_>, Vec<_>) = ends.iter().partition(|end| end.is_trial);
    let is_other_proven = others.iter().any(|end| end.proof == EndProof::Proven);
    trials.into_iter().fold(u64::from(is_other_proven), |digest, end| {
        let mut hasher = DefaultHasher::new();
        (&end.upstream, end.started_unix_ms, end.proof).hash(&mut hasher);
        digest ^ hasher.finish()
    })
}
