//! Finds out which lost runs of requests crashed their upstreams, and records the crashes.

use crate::{
    events::Event,
    node::{Node, SharedNode},
    quarantine::{Admission, KeyTrial, known_crashes, release},
    quarantine_news::{log_change, now_ms},
    request::CallerRequest,
    upstream_ends::{self, Verdict},
};
use rail_request::{EndProof, KeyKind, LostRun, QuarantineKey, TableChange, UpstreamEnd};
use rail_route::Upstream;
use std::{rc::Rc, sync::Arc, time::Duration};
use tokio::{
    sync::{oneshot, watch},
    task::JoinHandle,
    time::{Instant, timeout, timeout_at},
};

/// Longest time for which a retry waits until it is known whether the upstream ended.
const VERDICT_TIMEOUT: Duration = Duration::from_millis(120);
/// Time after which a loss is no longer related to the end of its upstream.
const ATTRIBUTION_TIMEOUT: Duration = Duration::from_secs(7);
/// Time for which a stream that answers may still be ended by a part of its prompt.
const BEGINNING_TIME: Duration = Duration::from_millis(500);
/// Time without an answer after which the upstream of a trial is checked.
const TRIAL_ANSWER_TIME: Duration = Duration::from_millis(250);

/// Handles the loss of a request at an upstream: if the upstream ended, the request has crashed it.
/// Returns when that is known, or after [`VERDICT_TIMEOUT`]; the record is made later in that case.
pub async fn record_loss(
    node: &SharedNode,
    request: &CallerRequest,
    upstream: &Arc<Upstream>,
    admission: Admission,
    sign: &'static str,
) {
    let trial = admission.trial_run();
    let Some(is_known) = start_attribution(node, request, upstream, (trial, admission), sign)
    else {
        return;
    };
    let _elapsed = timeout(VERDICT_TIMEOUT, is_known).await;
}

/// Handles a run whose upstream never answered, or whose answer may be incomplete, after its call
/// has ended.
pub fn record_unproven_end(
    node: &SharedNode,
    request: &CallerRequest,
    upstream: &Arc<Upstream>,
    trial: Option<KeyTrial>,
    sign: &'static str,
) {
    // Nobody waits for the verdict.
    let _known = start_attribution(node, request, upstream, (trial, Admission::default()), sign);
}

/// Checks the upstream of a trial that gets no answer for some time, until the returned task is
/// dropped. Returns `None` if the request doesn't run as a trial.
pub fn watch_trial(
    node: &SharedNode,
    request: &CallerRequest,
    upstream: &Arc<Upstream>,
    admission: &Admission,
) -> Option<TrialWatch> {
    let trial = admission.trial_run()?;
    let (node, upstream) = (Rc::clone(node), Arc::clone(upstream));
    let mut lost = Attribution::new(&node, request, &upstream, Some(trial));
    Some(TrialWatch(actix_rt::spawn(async move {
        tokio::time::sleep(TRIAL_ANSWER_TIME).await;
        let Some(verdict) = upstream_ends::check(&node, &upstream) else { return };
        lost.end.noticed_at_ms = now_ms(&node);
        let (known, _is_known) = oneshot::channel();
        attribute_loss(node, lost, Admission::default(), verdict, known).await;
    })))
}

/// Watches a trial until it is dropped.
pub struct TrialWatch(JoinHandle<()>);

impl Drop for TrialWatch {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Starts to find out whether the upstream of a lost run ended. The returned channel ends when the
/// call may go on.
fn start_attribution(
    node: &SharedNode,
    request: &CallerRequest,
    upstream: &Arc<Upstream>,
    (trial, admission): (Option<KeyTrial>, Admission),
    sign: &'static str,
) -> Option<oneshot::Receiver<()>> {
    log_loss(node, request, upstream, trial.is_some(), sign);
    let verdict = upstream_ends::check(node, upstream)?;
    let lost = Attribution::new(node, request, upstream, trial);
    let (known, is_known) = oneshot::channel();
    actix_rt::spawn(attribute_loss(Rc::clone(node), lost, admission, verdict, known));
    Some(is_known)
}

/// Logs that no whole answer of a run came.
fn log_loss(
    node: &Node,
    request: &CallerRequest,
    upstream: &Upstream,
    is_trial: bool,
    sign: &'static str,
) {
    node.metrics.lost_runs.count(sign);
    let prompt_parts = request.parsed_headers.shared_prompt_parts.iter();
    let prompt_parts: Vec<&str> = prompt_parts.map(|part| part.id.as_str()).collect();
    node.events.important(&Event::RunLost {
        request: &request.parsed_headers.request_id,
        fingerprint: request.fingerprint,
        upstream: &upstream.id,
        sign,
        is_trial,
        prompt_parts: &prompt_parts,
        answering_ms: request.answering_time().map(|time| time.as_millis() as u64),
    });
}

/// A run of a request without a whole answer, and what to do about it.
struct Attribution {
    request: String,
    /// What may have ended the upstream.
    keys: Vec<QuarantineKey>,
    end: UpstreamEnd,
    trial: Option<KeyTrial>,
    sent_at_ms: u64,
}

impl Attribution {
    fn new(
        node: &Node,
        request: &CallerRequest,
        upstream: &Upstream,
        trial: Option<KeyTrial>,
    ) -> Self {
        // A part ends an upstream that begins to answer; this one went on.
        let has_begun = request.answering_time().is_some_and(|time| time >= BEGINNING_TIME);
        let may_crash = |key: &&QuarantineKey| key.kind == KeyKind::Request || !has_begun;
        Self {
            request: request.parsed_headers.request_id.clone(),
            keys: request.quarantine_keys.iter().filter(may_crash).copied().collect(),
            end: UpstreamEnd {
                upstream: upstream.id.clone(),
                started_unix_ms: upstream.started_unix_ms.unwrap_or(0),
                host: node.settings.host.clone(),
                proof: EndProof::Suspected,
                is_trial: false,
                noticed_at_ms: now_ms(node),
            },
            trial,
            sent_at_ms: now_ms(node).saturating_sub(request.running_time().as_millis() as u64),
        }
    }

    /// Records what is known about the end of the upstream, and informs the other hosts.
    fn record(&self, node: &SharedNode, proof: EndProof) {
        for key in &self.keys {
            self.record_for(node, *key, proof);
        }
    }

    fn record_for(&self, node: &SharedNode, key: QuarantineKey, proof: EndProof) {
        let trial = self.trial.filter(|trial| trial.blamed == key);
        let is_trial = trial.is_some();
        let fingerprint = key.fingerprint;
        let end = UpstreamEnd { proof, is_trial, ..self.end.clone() };
        let change = {
            let mut table = node.quarantine.table.borrow_mut();
            let trial = trial.map(|trial| trial.run);
            let run = LostRun { trial, sent_at_ms: self.sent_at_ms };
            table.record_end(key, end, run, now_ms(node))
        };
        let is_counted = change != TableChange::Unchanged;
        // Parts that are known to be sound are not worth a line.
        let is_logged = key.kind == KeyKind::Request || is_counted;
        if proof != EndProof::Withdrawn && is_logged {
            node.events.important(&Event::RequestCrashed {
                request: &self.request,
                key: key.kind.name(),
                fingerprint,
                upstream: &self.end.upstream,
                is_trial,
                is_proven: proof == EndProof::Proven,
                is_counted,
            });
        }
        if !is_counted {
            return;
        }
        log_change(node, fingerprint, change);
        node.quarantine.news.spread(fingerprint);
        if proof == EndProof::Proven && known_crashes(node, fingerprint) > 1 {
            node.quarantine.news.store(fingerprint);
        }
    }
}

/// Waits for the verdict about the upstream and records the crash. Dropping `known` tells that the
/// call may go on.
async fn attribute_loss(
    node: SharedNode,
    lost: Attribution,
    mut admission: Admission,
    mut verdict: watch::Receiver<Verdict>,
    known: oneshot::Sender<()>,
) {
    let mut known = Some(known);
    let mut is_suspected = false;
    let deadline = Instant::now() + ATTRIBUTION_TIMEOUT;
    loop {
        let current = *verdict.borrow_and_update();
        match current {
            Verdict::Ended => lost.record(&node, EndProof::Proven),
            Verdict::Silent if !is_suspected => {
                is_suspected = true;
                lost.record(&node, EndProof::Suspected);
            }
            // A restart may still show that the upstream ended.
            Verdict::Answering | Verdict::NotEnded if is_suspected => {
                is_suspected = false;
                lost.record(&node, EndProof::Withdrawn);
            }
            Verdict::Unknown | Verdict::Silent | Verdict::Answering | Verdict::NotEnded => {}
        }
        if current != Verdict::Unknown {
            known.take();
            // Other calls need not wait until it is certain what became of the upstream.
            release(Rc::clone(&node), std::mem::take(&mut admission)).await;
        }
        if matches!(current, Verdict::Ended | Verdict::NotEnded) {
            return;
        }
        // Further losses keep the check of the upstream going.
        if !matches!(timeout_at(deadline, verdict.changed()).await, Ok(Ok(()))) {
            if is_suspected {
                lost.record(&node, EndProof::Withdrawn);
            }
            return;
        }
    }
}
