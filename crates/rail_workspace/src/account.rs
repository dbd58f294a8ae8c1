//! What one host uses of the quotas, and which issuer it asks.

use crate::{
    message::{AccountRequest, HostKey, IssuerTime, QuotaReply, QuotaRequest},
    workspace::WorkspaceName,
};
use std::{collections::HashMap, time::Duration};
use xxhash_rust::xxh3::xxh3_64;

/// How long a host pledges itself to an issuer, and how often it asks.
#[derive(Debug, Clone, Copy)]
struct Pace {
    pledge: Duration,
    interval: Duration,
}

/// Pace of a host that has used a quota lately.
const ACTIVE: Pace = Pace { pledge: Duration::from_secs(1), interval: Duration::from_millis(350) };
/// Pace of any other host.
const IDLE: Pace = Pace { pledge: Duration::from_secs(3), interval: Duration::from_millis(1200) };
/// Time without a charge after which a host is idle.
const ACTIVE_TIME: Duration = Duration::from_secs(2);
/// Time for which units that are left of a reply can be used.
const SPARE_TIME: Duration = Duration::from_millis(200);
/// Time added to a pledge for clocks that run at different speeds.
const PLEDGE_RESERVE: Duration = Duration::from_millis(50);
/// Time for which an issuer that did not reply is not asked again. It is longer than the time after
/// which a host without heartbeats is taken for gone.
const SILENT_PAUSE: Duration = Duration::from_secs(3);
/// Time for which a host of an earlier build is not asked again.
const OLD_BUILD_PAUSE: Duration = Duration::from_secs(60);
/// Issuers that are tried before a host issues to itself.
const MAX_ISSUERS: usize = 3;

#[derive(Debug, Clone, Default)]
struct Account {
    /// Units used that no issuer has deducted; negative while the units of a reply are distributed.
    unsettled: i64,
    /// Units that an issuer has deducted and nobody has used: given back, or left of a reply.
    spare: i64,
    /// Time until which they can be used.
    spare_until: Duration,
    /// Units that may be used on credit, as of the last charge.
    credit: i64,
    /// Time until which the issuer has refused more.
    refused_until: Duration,
}

impl Account {
    fn expire_spare(&mut self, now: Duration) {
        if now >= self.spare_until {
            self.spare = 0;
        }
    }
}

/// A charge of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Charge {
    /// Units charged.
    pub cost: u64,
    /// Time of the charge.
    pub charged_at: Duration,
}

/// Why a request can't be charged at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shortage {
    /// The issuer has to be asked.
    NeedsIssuer,
    /// The quota is used up; there may be room after this time.
    UsedUp(Duration),
}

/// A request that waits for the issuer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingCharge {
    /// Its workspace.
    pub workspace: WorkspaceName,
    /// Units that it costs.
    pub cost: u64,
}

/// A message to an issuer, whose reply must be passed back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IssuerCall {
    /// Host that is asked.
    pub issuer: String,
    /// The message.
    pub request: QuotaRequest,
}

#[derive(Debug, Clone, Copy)]
struct Heard {
    time: IssuerTime,
    received_at: Duration,
}

#[derive(Debug, Clone)]
struct CurrentIssuer {
    host: String,
    heard: Option<Heard>,
    /// Time until which the issuer may count this host as pledged.
    pledged_until: Duration,
}

/// Accounts of one host, one a workspace.
///
/// A host uses a quota on credit, up to a bound, and the issuer deducts it later; beyond that it
/// asks first. Times are those of a clock that goes on while the machine sleeps.
#[derive(Debug, Clone)]
pub struct HostQuotas {
    host: String,
    key: HostKey,
    sequence: u64,
    full_credit_from: Duration,
    accounts: HashMap<WorkspaceName, Account>,
    issuer: Option<CurrentIssuer>,
    silent_until: HashMap<String, Duration>,
    asked_at: Option<Duration>,
    charged_at: Option<Duration>,
}

impl HostQuotas {
    /// Creates empty accounts. `first_sequence` must be greater than any number of an earlier
    /// process of the host. Half of the credit is used before `full_credit_from`: an earlier
    /// process may have used the whole of it, and no issuer knows.
    pub fn new(host: &str, first_sequence: u64, full_credit_from: Duration) -> Self {
        Self {
            host: host.to_owned(),
            key: xxh3_64(host.as_bytes()),
            sequence: first_sequence,
            full_credit_from,
            accounts: HashMap::new(),
            issuer: None,
            silent_until: HashMap::new(),
            asked_at: None,
            charged_at: None,
        }
    }

    /// Charges a request, of which at most `credit` units may be used before the issuer has
    /// deducted them.
    ///
    /// # Errors
    /// Returns why the request must wait or is refused.
    pub fn charge(
        &mut self,
        workspace: &WorkspaceName,
        cost: u64,
        credit: u64,
        now: Duration,
    ) -> Result<Charge, Shortage> {
        self.charged_at = Some(now);
        let is_new = now < self.full_credit_from;
        let credit = to_signed(if is_new { credit / 2 } else { credit });
        let account = match self.accounts.get_mut(workspace) {
            Some(account) => account,
            None => self.accounts.entry(WorkspaceName::clone(workspace)).or_default(),
        };
        account.credit = credit;
        account.expire_spare(now);
        let spare = account.spare.min(to_signed(cost));
        let unsettled = account.unsettled.saturating_add(to_signed(cost) - spare);
        if unsettled <= credit {
            account.unsettled = unsettled;
            account.spare -= spare;
            return Ok(Charge { cost, charged_at: now });
        }
        if now < account.refused_until {
            return Err(Shortage::UsedUp(account.refused_until.saturating_sub(now)));
        }
        Err(Shortage::NeedsIssuer)
    }

    /// Checks whether a request that is charged later would be refused now.
    ///
    /// # Errors
    /// Returns the time after which there may be room.
    pub fn check(
        &mut self,
        workspace: &WorkspaceName,
        cost: u64,
        now: Duration,
    ) -> Result<(), Duration> {
        self.charged_at = Some(now);
        let Some(account) = self.accounts.get(workspace) else { return Ok(()) };
        let spare = if now < account.spare_until { account.spare } else { 0 };
        let missing = to_signed(cost).saturating_sub(spare).max(0);
        let unsettled = account.unsettled.saturating_add(missing);
        if now >= account.refused_until || unsettled <= account.credit {
            return Ok(());
        }
        Err(account.refused_until.saturating_sub(now))
    }

    /// Gives back the charge of a request that certainly did not run, unless it is older than
    /// `give_back_time`: its units may have been used by others in the meantime.
    pub fn give_back(
        &mut self,
        workspace: &WorkspaceName,
        charge: Charge,
        give_back_time: Duration,
        now: Duration,
    ) -> bool {
        let account = self.accounts.entry(WorkspaceName::clone(workspace)).or_default();
        let until = charge.charged_at + give_back_time;
        if now >= until {
            return false;
        }
        account.expire_spare(now);
        let rest = to_signed(charge.cost) - account.unsettled.max(0);
        account.unsettled = (-rest).max(0);
        if rest > 0 {
            account.spare = account.spare.saturating_add(rest);
            account.spare_until = account.spare_until.max(until);
        }
        true
    }

    /// Returns what a workspace has used on credit, and the bound of it.
    pub fn credit_used(&self, workspace: &str) -> (i64, i64) {
        self.accounts.get(workspace).map_or((0, 0), |account| (account.unsettled, account.credit))
    }

    /// Returns the host to which this one is pledged, with the time since its last reply.
    pub fn issuer(&self, now: Duration) -> Option<(&str, Option<Duration>)> {
        let issuer = self.issuer.as_ref()?;
        let age = issuer.heard.map(|heard| now.saturating_sub(heard.received_at));
        Some((&issuer.host, age))
    }

    /// Returns the time of the next message to an issuer if no request waits.
    pub fn next_call_at(&self, now: Duration) -> Duration {
        self.asked_at.map_or(now, |asked_at| asked_at + self.pace(now).interval)
    }

    fn pace(&self, now: Duration) -> Pace {
        let is_active = self.charged_at.is_some_and(|at| now < at + ACTIVE_TIME);
        if is_active { ACTIVE } else { IDLE }
    }

    /// Returns the next message, to the first issuer in `ranked` that replies. A host that is
    /// pledged to another one releases that pledge first.
    ///
    /// # Errors
    /// Returns the time until another issuer may be asked, if the current one is silent.
    pub fn next_call(
        &mut self,
        ranked: &[&str],
        waiting: &[WaitingCharge],
        now: Duration,
    ) -> Result<IssuerCall, Duration> {
        self.silent_until.retain(|_, until| now < *until);
        let is_silent = |host: &str| self.silent_until.contains_key(host);
        let first = ranked.iter().take(MAX_ISSUERS).copied().find(|host| !is_silent(host));
        let first = first.unwrap_or(&self.host).to_owned();
        let pledged = self.issuer.as_ref().filter(|issuer| now < issuer.pledged_until);
        let (is_move, is_held) = match pledged {
            Some(issuer) if issuer.host == first => (false, false),
            Some(issuer) if is_silent(&issuer.host) => {
                return Err(issuer.pledged_until.saturating_sub(now));
            }
            Some(_) => (true, true),
            None => (self.issuer.as_ref().is_none_or(|issuer| issuer.host != first), false),
        };
        if is_move && !is_held {
            self.issuer =
                Some(CurrentIssuer { host: first, heard: None, pledged_until: Duration::ZERO });
        }
        let pledge = if is_held { Duration::ZERO } else { self.pace(now).pledge };
        Ok(self.call(pledge, waiting, now))
    }

    fn call(&mut self, pledge: Duration, waiting: &[WaitingCharge], now: Duration) -> IssuerCall {
        self.sequence += 1;
        self.asked_at = Some(now);
        let accounts = self.account_requests(waiting);
        let (mut issuer, mut heard) = (String::new(), None);
        if let Some(current) = &mut self.issuer {
            issuer.clone_from(&current.host);
            if let Some(last) = current.heard {
                heard = Some(last.time);
                if !pledge.is_zero() {
                    let until = last.received_at + pledge + PLEDGE_RESERVE;
                    current.pledged_until = current.pledged_until.max(until);
                }
            }
        }
        let request = QuotaRequest {
            host: self.key,
            sequence: self.sequence,
            heard,
            pledge_ms: pledge.as_millis() as u32,
            accounts,
        };
        IssuerCall { issuer, request }
    }

    fn account_requests(&self, waiting: &[WaitingCharge]) -> Vec<AccountRequest> {
        let mut requests: Vec<AccountRequest> = Vec::new();
        for charge in waiting {
            if let Some(known) =
                requests.iter_mut().find(|known| known.workspace == *charge.workspace)
            {
                known.waiting = known.waiting.saturating_add(charge.cost);
                continue;
            }
            let (unsettled, credit) = self.credit_used(&charge.workspace);
            let missing = unsettled.saturating_add(to_signed(charge.cost)).saturating_sub(credit);
            requests.push(AccountRequest {
                workspace: charge.workspace.to_string(),
                spent: unsettled.max(0) as u64,
                waiting: charge.cost,
                needed: missing.max(0) as u64,
            });
        }
        for (workspace, account) in &self.accounts {
            let is_listed = requests.iter().any(|known| known.workspace == **workspace);
            if account.unsettled > 0 && !is_listed {
                requests.push(AccountRequest {
                    workspace: workspace.to_string(),
                    spent: account.unsettled as u64,
                    waiting: 0,
                    needed: 0,
                });
            }
        }
        requests
    }

    /// Applies the reply to a call. Waiting requests can be charged then; afterwards
    /// [`HostQuotas::finish_reply`] must be called.
    pub fn apply_reply(&mut self, call: &IssuerCall, reply: &QuotaReply, now: Duration) {
        let is_release = call.request.pledge_ms == 0;
        if let Some(issuer) = self.issuer.as_mut().filter(|issuer| issuer.host == call.issuer) {
            issuer.heard = Some(Heard { time: reply.time, received_at: now });
            if is_release {
                self.issuer = None;
            }
        }
        // An issuer that this host asks for the first time does not count its pledge yet.
        let may_refuse = call.request.heard.is_some() && !is_release;
        for (request, decision) in call.request.accounts.iter().zip(&reply.decisions) {
            let account = self.accounts.entry(request.workspace.as_str().into()).or_default();
            account.unsettled = account.unsettled.saturating_sub(to_signed(decision.paid));
            if let Some(retry_ms) = decision.retry_ms.filter(|_| may_refuse) {
                account.refused_until = now + Duration::from_millis(retry_ms.into());
            }
        }
    }

    /// Keeps for a short time what was granted to waiting requests and not used by them, and
    /// removes accounts without content.
    pub fn finish_reply(&mut self, now: Duration) {
        for account in self.accounts.values_mut().filter(|account| account.unsettled < 0) {
            account.expire_spare(now);
            account.spare = account.spare.saturating_sub(account.unsettled);
            account.spare_until = account.spare_until.max(now + SPARE_TIME);
            account.unsettled = 0;
        }
        self.accounts.retain(|_, account| {
            account.unsettled > 0 || now < account.refused_until.max(account.spare_until)
        });
    }

    /// Records that an issuer did not reply to a call.
    pub fn record_silence(&mut self, call: &IssuerCall, now: Duration) {
        self.silent_until.insert(call.issuer.clone(), now + SILENT_PAUSE);
    }

    /// Records that a host is of a build that issues no quotas.
    pub fn record_old_build(&mut self, call: &IssuerCall, now: Duration) {
        self.silent_until.insert(call.issuer.clone(), now + OLD_BUILD_PAUSE);
        self.issuer = None;
    }
}

/// Returns units as a signed number; more than half of the range count as that.
fn to_signed(units: u64) -> i64 {
    i64::try_from(units).unwrap_or(i64::MAX).min(i64::MAX / 2)
}
