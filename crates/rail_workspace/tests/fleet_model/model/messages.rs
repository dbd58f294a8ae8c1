//! Calls of hosts to quota issuers, and their replies.

use super::{Fleet, charges::MAX_WAIT, failures::Failure, load::TOLERANCE};
use rail_workspace::{IssuerCall, QuotaReply, WaitingCharge, WorkspaceName};
use std::time::Duration;

/// Time after which a host no longer waits for the reply of an issuer.
const REPLY_TIMEOUT: Duration = Duration::from_millis(150);

/// A call to an issuer, or its reply.
pub struct Message {
    pub arrives_at: Duration,
    pub from: usize,
    pub to: usize,
    pub call: IssuerCall,
    pub reply: Option<QuotaReply>,
}

impl Fleet {
    /// Handles the messages that have arrived, those from before a standstill too.
    pub fn receive(&mut self, host: usize, now: Duration) {
        let has_arrived = |message: &mut Message| message.to == host && message.arrives_at <= now;
        let arrived: Vec<Message> = self.messages.extract_if(.., has_arrived).collect();
        for message in arrived {
            if message.reply.is_some() {
                self.receive_reply(host, message, now);
                continue;
            }
            let known = Some(self.hosts.len());
            let (loads, names) = (&self.loads, &self.names);
            let find = |name: &str| {
                let load = names.iter().position(|known| **known == *name)?;
                Some(loads[load].quota_at(now))
            };
            let serving = &mut self.hosts[host];
            let clock = serving.clock(now);
            let reply = serving.issuer.serve(&message.call.request, find, TOLERANCE, known, clock);
            self.send(Message { from: host, to: message.from, reply: Some(reply), ..message }, now);
        }
    }

    fn send(&mut self, mut message: Message, now: Duration) {
        let is_lossy = self.failure == Failure::Lossy;
        let is_lost = is_lossy && self.random() < 0.15;
        let is_delayed = is_lossy && self.random() < 0.05;
        let is_own = message.from == message.to;
        // A process that has ended receives nothing; a frozen one does when it goes on.
        let is_gone = self.ends_processes() && self.hosts[message.to].is_failing(now);
        if !is_own && (is_lost || is_gone || !self.are_linked(message.from, message.to, now)) {
            return;
        }
        let delay_ms = if is_delayed { 2000.0 } else { 8.0 };
        let delay = Duration::from_secs_f64(delay_ms * self.random() / 1000.0);
        message.arrives_at = if is_own { now } else { now + delay };
        self.messages.push(message);
    }

    fn receive_reply(&mut self, host: usize, message: Message, now: Duration) {
        let Message { call, reply: Some(reply), .. } = message else { return };
        let receiving = &mut self.hosts[host];
        let clock = receiving.clock(now);
        if receiving.call.as_ref().is_none_or(|(open, _)| *open != call) {
            return;
        }
        receiving.call = None;
        receiving.quotas.apply_reply(&call, &reply, clock);
        for _ in 0..receiving.waiting.len() {
            if let Some(waiting) = self.hosts[host].waiting.pop_front() {
                self.charge(host, waiting, now);
            }
        }
        self.hosts[host].quotas.finish_reply(clock);
    }

    /// Sends the next call of a host, if requests wait for it or it is due.
    pub fn call_issuer(&mut self, host: usize, now: Duration) {
        let caller = &mut self.hosts[host];
        let clock = caller.clock(now);
        if let Some((call, sent_at)) = &caller.call {
            if now < *sent_at + REPLY_TIMEOUT {
                return;
            }
            caller.quotas.record_silence(call, clock);
            caller.call = None;
        }
        caller.waiting.retain(|waiting| now < waiting.since + MAX_WAIT);
        if caller.waiting.is_empty() && clock < caller.quotas.next_call_at(clock) {
            return;
        }
        let names = &self.names;
        let waiting = self.hosts[host].waiting.iter().map(|waiting| WaitingCharge {
            workspace: WorkspaceName::clone(&names[waiting.load]),
            cost: waiting.cost,
        });
        let waiting: Vec<WaitingCharge> = waiting.collect();
        let mut quotas = self.hosts[host].quotas.clone();
        let call = quotas.next_call(&self.ranked(host, now), &waiting, clock);
        self.hosts[host].quotas = quotas;
        let Ok(call) = call else { return };
        self.hosts[host].call = Some((call.clone(), now));
        if let Some(to) = self.hosts.iter().position(|other| other.name == call.issuer) {
            self.send(Message { arrives_at: now, from: host, to, call, reply: None }, now);
        }
    }
}
