//! Order in which waiting requests are granted, and which are refused.

use super::{
    CONFIRM_TIME, EngineOwner, WaitingRequest,
    adapter::LoadState,
    estimate::MIN_RETRY_AFTER,
    fairness::{TotalWork, WorkShare},
    message::{AdapterPath, OwnerCommand, StartId, StartRequest},
};
use crate::{kept::SharedPart, pace::Prompt};
use std::time::Duration;

/// Time by which a request of one priority counts as less pressing than one of the priority before.
const PRIORITY_HEAD_START: Duration = Duration::from_millis(100);

/// Place of a waiting request in the order of grants.
///
/// Load pattern: more prompts than the engine can read. In the order of arrival all would be late, so
/// requests that are late already give way to those that need not be. Among these the one that has the
/// least time left goes first, so that long prompts aren't overtaken until they are late.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum GrantPosition {
    /// The first event can be in time if the engine reads the prompt by this time.
    InTime { start_by: Duration },
    /// The first event is late in any case.
    Late { priority: u8 },
}

/// Place of a waiting request among those of all workspaces.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct GrantOrder {
    is_over_share: bool,
    position: GrantPosition,
}

/// A granted request that has not ended, with what its grant has charged.
#[derive(Debug, Clone)]
pub(super) struct GrantedRequest {
    /// The adapter that it uses; `None` after the engine has restarted.
    pub(super) adapter: Option<AdapterPath>,
    share: Option<WorkShare>,
    kept_path: AdapterPath,
    shared_parts: Vec<SharedPart>,
    granted_at: Duration,
}

impl EngineOwner {
    /// Gives back what the grant of a request has charged and the engine has not done.
    pub(super) fn give_back(
        &mut self,
        granted: &GrantedRequest,
        unread_tokens: u32,
        may_have_run: bool,
        now: Duration,
    ) {
        let GrantedRequest { kept_path, shared_parts, granted_at, .. } = granted;
        if let Some(share) = granted.share {
            self.work_shares.give_back(share, unread_tokens, *granted_at, now);
        }
        if !may_have_run {
            self.kept.withdraw(kept_path, shared_parts, *granted_at);
        }
    }

    /// Estimates the time until the engine reads the prompt of a new request: it reads those of the
    /// granted requests and of waiting ones that go ahead of it before.
    pub fn backlog(&self, request: &StartRequest, now: Duration) -> Duration {
        self.backlog_of(request, None, now)
    }

    /// Estimates the same for a request of a workspace.
    pub(super) fn backlog_of(
        &self,
        request: &StartRequest,
        share: Option<WorkShare>,
        now: Duration,
    ) -> Duration {
        let ahead = self.requests_ahead(request, share, now);
        let tokens = ahead.map(|ahead| self.prompt(ahead, now).tokens);
        let tokens = tokens.fold(0, u32::saturating_add);
        self.pacer.read_until().saturating_sub(now) + self.pacer.paced_time(tokens)
    }

    /// Returns whether the first event of a request would be late if its prompt is read after a wait.
    pub(super) fn would_be_late(
        &self,
        request: &StartRequest,
        wait: Duration,
        now: Duration,
    ) -> bool {
        let reading_time = self.pacer.reading_time(self.prompt(request, now).tokens);
        now + wait + reading_time > request.late_at
    }

    /// Returns what the engine has to read for a request, without the parts that it keeps.
    pub(super) fn prompt(&self, request: &StartRequest, now: Duration) -> Prompt {
        let kept_tokens = self.kept.kept_tokens(&request.kept_path(), &request.shared_parts, now);
        Prompt {
            tokens: request.prompt_tokens.saturating_sub(kept_tokens),
            max_event_gap: request.max_event_gap,
        }
    }

    /// Returns the waiting requests that go ahead of a new one.
    pub(super) fn requests_ahead(
        &self,
        request: &StartRequest,
        share: Option<WorkShare>,
        now: Duration,
    ) -> impl Iterator<Item = &StartRequest> {
        let total = self.work_shares.total(now);
        let order = self.grant_order(request, share, &total, now);
        let ahead = self.waiting.values().filter(move |waiting| {
            self.grant_order(&waiting.request, waiting.share, &total, now) <= order
        });
        ahead.map(|waiting| &waiting.request)
    }

    /// Returns the place of a request among those of all workspaces: requests of workspaces that have
    /// used more than their share come last.
    fn grant_order(
        &self,
        request: &StartRequest,
        share: Option<WorkShare>,
        total: &TotalWork,
        now: Duration,
    ) -> GrantOrder {
        GrantOrder {
            is_over_share: self.work_shares.is_exceeded(share, total),
            position: self.grant_position(request, now),
        }
    }

    /// Returns the place of a request in the order of grants; requests of the same place are granted
    /// in the order of their arrival.
    pub(super) fn grant_position(&self, request: &StartRequest, now: Duration) -> GrantPosition {
        let prompt = self.prompt(request, now);
        let reading_time = self.pacer.reading_time(prompt.tokens);
        if self.pacer.first_event_at(prompt, now) > request.late_at {
            return GrantPosition::Late { priority: request.priority };
        }
        let head_start = PRIORITY_HEAD_START * u32::from(request.priority);
        let start_by = request.late_at.saturating_sub(reading_time).saturating_add(head_start);
        GrantPosition::InTime { start_by }
    }

    /// Refuses waiting requests whose start deadline has passed, and those that need a load from an
    /// engine that answers no orders.
    pub(super) fn refuse_overdue(&mut self, now: Duration, commands: &mut Vec<OwnerCommand>) {
        let overdue: Vec<StartId> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| {
                now > waiting.request.start_deadline
                    || self.waits_for_unresponsive(&waiting.request)
            })
            .map(|(id, _)| *id)
            .collect();
        for id in overdue {
            if let Some(waiting) = self.waiting.remove(&id) {
                let retry_after =
                    self.estimate_wait(&waiting.request, waiting.share, now).max(MIN_RETRY_AFTER);
                commands.push(OwnerCommand::Refuse(id, retry_after));
            }
        }
    }

    /// Grants waiting requests in the order of [`GrantOrder`] and then of arrival, if their adapter is
    /// resident or needs a trial request, and their prompt holds up no running stream for too long. A
    /// prompt that waits for that isn't overtaken, so that a long one gets its
    /// turn.
    pub(super) fn grant_waiting(&mut self, now: Duration, commands: &mut Vec<OwnerCommand>) {
        self.reads_at = None;
        let total = self.work_shares.total(now);
        let mut order: Vec<(GrantOrder, Duration, StartId)> = self
            .waiting
            .iter()
            .map(|(id, waiting)| {
                let order = self.grant_order(&waiting.request, waiting.share, &total, now);
                (order, waiting.queued_at, *id)
            })
            .collect();
        order.sort_unstable();
        for (_, _, id) in order {
            if self.granted.len() >= self.slots as usize {
                return;
            }
            let Some(waiting) = self.waiting.get(&id) else { continue };
            let (path, prompt) = (waiting.request.path(), self.prompt(&waiting.request, now));
            if let Some(path) = &path {
                self.ensure_load_if_absent(path, now);
                if !self.is_usable(path, now) || self.is_withheld(path, now) {
                    continue;
                }
            }
            if !self.pacer.may_start(prompt, now) {
                self.reads_at = Some(self.pacer.earliest_start(prompt, now));
                return;
            }
            let version = path.as_deref().and_then(|path| self.use_adapter(path, now));
            let Some(WaitingRequest { request, share, .. }) = self.waiting.remove(&id) else {
                continue;
            };
            if let Some(share) = share {
                self.work_shares.record_grant(share, prompt.tokens, now);
            }
            let kept_path = request.kept_path();
            self.kept.record(&kept_path, &request.shared_parts, now);
            self.pacer.start(id, prompt, now);
            self.slot_times.start(id, now);
            let shared_parts = request.shared_parts;
            let granted =
                GrantedRequest { adapter: path, share, kept_path, shared_parts, granted_at: now };
            self.granted.insert(id, granted);
            commands.push(OwnerCommand::Grant(id, version));
        }
    }

    /// Reports whether a request may be sent to an adapter: it is resident, or was loaded and no
    /// request has tried it yet. An outdated version isn't used, even while no order can replace it.
    fn is_usable(&self, path: &str, now: Duration) -> bool {
        self.adapters.get(path).is_some_and(|entry| {
            let is_loaded = match entry.state {
                LoadState::Resident => true,
                LoadState::Unconfirmed { .. } => !entry.was_tried,
                LoadState::Loading { .. } | LoadState::Unloading => false,
            };
            let forced_at = self.forced_replacement_at(path, entry);
            is_loaded && forced_at.is_none_or(|forced_at| now < forced_at)
        })
    }

    /// Counts a granted request at its adapter. Returns the version that the engine must have, if
    /// one was announced.
    fn use_adapter(&mut self, path: &str, now: Duration) -> Option<u64> {
        let entry = self.adapters.get_mut(path)?;
        if matches!(entry.state, LoadState::Unconfirmed { .. }) {
            entry.was_tried = true;
            entry.state = LoadState::Unconfirmed { until: now + CONFIRM_TIME };
        }
        entry.in_use += 1;
        let has_announced_version = self.announced.newest(path).is_some();
        entry.version.filter(|_| has_announced_version)
    }

    fn ensure_load_if_absent(&mut self, path: &str, now: Duration) {
        if !self.adapters.contains_key(path) {
            self.ensure_load(path, now);
        }
    }
}
