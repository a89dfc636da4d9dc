//! The injection of random faults.

use std::time::Duration;

use nix::sys::signal::Signal;
use rand::Rng;
use tokio::time::Instant;

use crate::engine_faults::draw_time;
use crate::history::EntryEvent;
use crate::proxy::Link;
use crate::standin::engine::MAX_VERSION;
use crate::standin::publish::{
    delete_target,
    publish_target,
    publish_version, //
};
use crate::standin::StoreFault;

use super::{
    Environment,
    ENGINES,
    ENTRIES,
    SERVICES, //
};

/// The longest pause between two versions that are named in quick succession.
const VERSION_PAUSE_MS: u64 = 2500;

/// The changes of a storm, and the pauses between them.
const STORM_CHANGES: std::ops::Range<u64> = 3..9;
const STORM_PAUSE_MS: std::ops::Range<u64> = 20..400;

/// Some silences are longer than an entry waits before it asks another engine to go on, which is 2.2 s with the
/// objectives of these routes.
const ENGINE_SILENCE_MS: std::ops::Range<u64> = 500..3000;

impl Environment {
    pub(super) fn inject_fault(&mut self) {
        match self.rng.random_range(0..20) {
            0 | 1 => self.change_store_link(),
            2 | 3 => self.change_target_link(),
            4 => self.pause_or_resume(),
            5 => self.kill_and_restart(),
            6 => self.request_stop(),
            7 => self.request_reload(),
            8 => self.change_store_fault(),
            9 | 17 => self.name_versions(),
            10 => self.change_configuration(),
            11 => self.restore_store(),
            12 => self.announce_leaving(),
            13 | 14 => self.change_silence(),
            15 | 18 => self.starve_process(),
            16 => self.halt_process(),
            _ => self.list_or_unlist_target(),
        }
    }

    fn random_link(&mut self) -> Link {
        let delay = Duration::from_millis(self.rng.random_range(5..300));
        let links = [
            Link::Healthy,
            Link::Delayed(delay),
            Link::DropResponses,
            Link::DropAll,
            Link::Reset,
        ];
        links[self.rng.random_range(0..links.len())]
    }

    fn change_store_link(&mut self) {
        let link = self.random_link();
        let index = self.rng.random_range(0..self.store_proxies.len());
        self.store_proxies[index].set_link(link);
    }

    fn change_target_link(&mut self) {
        let link = self.random_link();
        let index = self.rng.random_range(0..SERVICES);
        // A link that is only slow gives no reason to lose a request.
        if matches!(link, Link::Healthy | Link::Delayed(_)) {
            self.history.links.end(index);
        } else {
            self.history.links.begin(index);
        }
        self.targets[index].proxy.set_link(link);
        self.log(&format!("link to {}: {link:?}", self.targets[index].id));
    }

    /// Picks a process for a fault that excuses it from what it knew before.
    fn disturb_process(&mut self) -> usize {
        let index = self.rng.random_range(0..self.processes.len());
        if index >= ENGINES {
            self.disturbed_entries
                .push((index - ENGINES, Instant::now()));
        }
        index
    }

    /// Restores the store from its last copy, or takes one. Operators and targets write again what
    /// was lost.
    fn restore_store(&mut self) {
        if !self.store.has_copy() || self.rng.random_bool(0.4) {
            self.store.take_copy();
            return;
        }
        self.store.restore();
        self.publish_again();
        if let Some((version, _)) = self.named_versions.last() {
            publish_version(&self.store, *version);
        }
        for listed in &self.targets {
            let address = match listed.service {
                "engines" => listed.address,
                _ => listed.proxy.address(),
            };
            publish_target(&self.store, &listed.id, listed.service, address, false);
        }
        self.unlisted.clear();
    }

    /// Lets one target say that it leaves, until the end of the run.
    fn announce_leaving(&mut self) {
        if self.leaving.is_none() {
            let leaving = &self.targets[0];
            leaving.target.announce_leaving();
            self.leaving = Some((leaving.id.clone(), Instant::now()));
        }
    }

    /// Lets a target fall silent for a second or so in its answers, or no longer. That is no fault of a sound
    /// target.
    fn change_silence(&mut self) {
        let index = self.rng.random_range(0..SERVICES + ENGINES);
        let silence = match self.rng.random_range(0..3) {
            0 => Duration::ZERO,
            _ => Duration::from_millis(self.rng.random_range(200..1500)),
        };
        self.targets[index].target.set_silence(silence);
    }

    fn starve_process(&mut self) {
        let index = self.disturb_process();
        let ends = self.stalls.starve(&mut self.rng, index);
        self.disturb_until(index, ends, "is short of processor time");
    }

    fn halt_process(&mut self) {
        let index = self.disturb_process();
        let ends = self.stalls.halt(&mut self.rng, index);
        self.disturb_until(index, ends, "stands still");
    }

    fn disturb_until(&mut self, index: usize, ends: Instant, what: &str) {
        if index >= ENGINES {
            self.disturbed_entries.push((index - ENGINES, ends));
        }
        let name = &self.processes[index].addresses.name;
        let time = ends.saturating_duration_since(Instant::now());
        self.log(&format!("{name} {what} for {time:?}"));
    }

    fn pause_or_resume(&mut self) {
        let index = self.disturb_process();
        let is_resumed = self.paused.remove(&index);
        if !is_resumed {
            self.paused.insert(index);
        }
        let name = &self.processes[index].addresses.name;
        self.log(&format!("{name} resumed: {is_resumed}"));
    }

    fn kill_and_restart(&mut self) {
        let index = self.disturb_process();
        self.asked_to_stop.remove(&index);
        self.paused.remove(&index);
        // The kill is noted before it cuts requests.
        if index >= ENGINES {
            self.history.entries.begin(index - ENGINES);
        }
        self.processes[index].restart();
        if index >= ENGINES {
            self.history.entries.end(index - ENGINES);
            self.history.add_event(index - ENGINES, EntryEvent::Start);
        }
        let name = &self.processes[index].addresses.name;
        self.log(&format!("{name} was killed and restarted"));
    }

    fn request_stop(&mut self) {
        let index = self.disturb_process();
        self.stop_process(index);
    }

    fn stop_process(&mut self, index: usize) {
        self.asked_to_stop.insert(index);
        if index >= ENGINES {
            self.history.add_event(index - ENGINES, EntryEvent::Stop);
        }
        self.processes[index].signal(Signal::SIGTERM);
        let name = &self.processes[index].addresses.name;
        self.log(&format!("{name} was asked to stop"));
    }

    fn request_reload(&mut self) {
        let index = self.rng.random_range(0..self.processes.len());
        self.reload_process(index);
    }

    fn reload_process(&mut self, index: usize) {
        if index >= ENGINES {
            self.history.add_event(index - ENGINES, EntryEvent::Reload);
        }
        self.processes[index].signal(Signal::SIGHUP);
        let name = &self.processes[index].addresses.name;
        self.log(&format!("{name} was asked to reload"));
    }

    /// Starts planned work: changes of the configuration, SIGHUP or SIGTERM of an entry. Often an engine falls
    /// silent beside it, which is no reason to lose a request.
    pub(super) fn start_work(&mut self) {
        let entry = self.work_rng.random_range(0..ENTRIES);
        if self.work_rng.random_bool(0.7) {
            self.change_engines();
        }
        match self.work_rng.random_range(0..12) {
            0..7 => self.publications.push(Instant::now()),
            7 | 8 => self.schedule_storm(),
            9 | 10 => self.reload_process(ENGINES + entry),
            _ => {
                self.disturbed_entries.push((entry, Instant::now()));
                self.stop_process(ENGINES + entry);
            }
        }
    }

    /// Lets one or two engines fall silent in their answers, and sometimes engines refuse the rest of these as if
    /// they were full.
    fn change_engines(&mut self) {
        let refuse_rest = self.work_rng.random_bool(0.5);
        for target in self.engine_targets() {
            target.refuse_rest(refuse_rest);
            target.set_silence(Duration::ZERO);
        }
        for _ in 0..2 {
            let silent = self.work_rng.random_range(0..ENGINES);
            let silence = Duration::from_millis(self.work_rng.random_range(ENGINE_SILENCE_MS));
            self.targets[SERVICES + silent].target.set_silence(silence);
            self.log(&format!(
                "engine {silent} is silent for {silence:?} in its answers, others refuse the rest: {refuse_rest}"
            ));
        }
    }

    /// Schedules several changes of the configuration in quick succession.
    fn schedule_storm(&mut self) {
        let mut at = Instant::now();
        for _ in 0..self.work_rng.random_range(STORM_CHANGES) {
            self.publications.push(at);
            at += Duration::from_millis(self.work_rng.random_range(STORM_PAUSE_MS));
        }
    }

    fn change_store_fault(&mut self) {
        let answer_time = draw_time(&mut self.rng, self.engine_faults.case.store_time);
        let faults = [
            StoreFault::None,
            StoreFault::Slow(answer_time),
            StoreFault::Busy,
            StoreFault::Unresponsive,
        ];
        let fault = faults[self.rng.random_range(0..faults.len())];
        self.store.set_fault(fault);
        self.log(&format!("store: {fault:?}"));
        if self.rng.random_bool(0.3) {
            self.store.compact();
        }
    }

    /// Names one version, or several in quick succession.
    fn name_versions(&mut self) {
        let mut at = Instant::now();
        for _ in 0..self.rng.random_range(1..=3) {
            self.namings.push(at);
            at += Duration::from_millis(self.rng.random_range(0..VERSION_PAUSE_MS));
        }
    }

    pub(super) fn name_next_version(&mut self) {
        let version = self.newest_version() + 1;
        if version > MAX_VERSION {
            return;
        }
        publish_version(&self.store, version);
        self.named_versions.push((version, Instant::now()));
        self.log(&format!("version {version} is named"));
    }

    fn change_configuration(&mut self) {
        let change = self.configuration.change(&mut self.work_rng);
        self.log(&format!("change of the configuration: {change}"));
        if self.configuration.keys.len() > 1 && self.rng.random_bool(0.3) {
            let key = self.configuration.keys.remove(1);
            self.publish();
            self.revoked_keys.push((key, Instant::now()));
        } else {
            self.publish();
        }
    }

    /// Removes the target of a service from the store, or adds it again.
    fn list_or_unlist_target(&mut self) {
        let index = self.rng.random_range(0..SERVICES);
        let listed = &self.targets[index];
        if self.rng.random_bool(0.4) {
            delete_target(&self.store, &listed.id);
            self.unlisted.insert(index);
        } else {
            self.unlisted.remove(&index);
            let is_draining = self.rng.random_bool(0.2);
            let address = listed.proxy.address();
            publish_target(
                &self.store,
                &listed.id,
                listed.service,
                address,
                is_draining,
            );
        }
    }

    /// Adds the targets again that were removed from the store.
    pub(super) fn list_all_targets(&mut self) {
        for index in std::mem::take(&mut self.unlisted) {
            let listed = &self.targets[index];
            let address = listed.proxy.address();
            publish_target(&self.store, &listed.id, listed.service, address, false);
        }
    }
}
