use super::Balancer;
use super::command::{Command, Relay};
use super::endpoint::Endpoint;
use crate::CommandIndex;

impl Balancer {
    /// A second copy, where one relay takes unusually long. Guards against an endpoint that stands still; the
    /// budget of further relays keeps it from feeding an overload.
    pub(super) fn hedge(&mut self, cmd: CommandIndex) {
        let Some(c) = self
            .open_command(cmd)
            .filter(|c| !c.concluded && !c.streaming && !c.queued && !c.body_not_replayable)
        else {
            return;
        };
        let v = &self.parameters.classes[c.class];
        let [only] = c.relays[..] else { return };
        let slow = only.outcome.is_none()
            && self.now.saturating_sub(only.sent_at) >= v.hedge_delay().mul_f64(0.8);
        let time = c.target_deadline.saturating_sub(self.now).as_secs_f64() > v.answer_time.mean;
        let may = slow && time && self.retry_budget >= 1.0 && !self.shedding;
        if let Some(at) = may.then(|| self.pick_endpoint(cmd, true)).flatten() {
            self.retry_budget -= 1.0;
            self.send_relay(cmd, at);
        }
    }

    /// Past its goal an answer is worth nothing. Guards against work that keeps others waiting: it is called
    /// off where something waits, here or at its endpoint; else it may end by itself and is not wasted.
    pub(super) fn on_target_passed(&mut self, cmd: CommandIndex) {
        let past = |c: &&Command| {
            !c.concluded && !c.streaming && !c.queued && self.now >= c.target_deadline
        };
        let Some(c) = self.open_command(cmd).filter(past) else {
            return;
        };
        let (usual, verb) = (self.mean_load(), c.class);
        let out: Vec<Relay> = c
            .relays
            .iter()
            .filter(|r| r.outcome.is_none())
            .copied()
            .collect();
        // What can't be known of an endpoint without credit is taken for the worse.
        let crowded = |e: &Endpoint| {
            self.estimated_load(e, usual) / e.capacity > 1.2
                || e.report_credit * self.report_credit < 0.5
        };
        let wanted = out.iter().any(|r| crowded(&self.endpoints[r.endpoint]));
        if wanted || self.shedding || !self.queue.is_empty() {
            out.iter()
                .for_each(|r| self.record_slow_answer(r, verb, self.now.saturating_sub(r.sent_at)));
            self.give_up(cmd);
        }
    }
}
