//! Connections of entries.

use crate::control::Control;
use crate::control::Event;
use crate::control::LinkKey;
use async_channel::Sender;
use dogwoodshunt_replica::PeerKey;
use dogwoodshunt_residency::Report;
use dogwoodshunt_runtime::link::Link;
use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::BootId;
use dogwoodshunt_wire::Frame;
use dogwoodshunt_wire::frame::Heartbeat;
use slog::info;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

/// Time between two accounts of other entries; well below the time after which
/// an entry that is not heard of no longer counts as live.
const PEERS_INTERVAL: Duration = Duration::from_secs(1);

/// Shortest time between two accounts of other entries.
const PEERS_PAUSE: Duration = Duration::from_millis(100);

/// One entry's connection.
pub(super) struct LinkState {
    pub(super) entry_boot: BootId,
    pub(super) peer: PeerKey,
    pub(super) tx: Sender<Frame>,
    pub(super) granter: bool,
    last_report: Option<Report>,
    peers_due: Instant,
}

impl Control {
    pub(super) fn on_link_up(&mut self, now: Instant, link: Link) {
        let Link { peer, tx, rx } = link;
        info!(self.around.log, "entry connected"; "entry" => %peer.node);
        self.close_older(now, peer.boot);
        let entry_boot = peer.boot;
        let peer = self.replica.add_peer(peer);
        let key = self.links.insert(LinkState {
            entry_boot,
            peer,
            tx,
            granter: false,
            last_report: None,
            peers_due: now,
        });
        let events = self.around.events.clone();
        let receive = async move {
            while let Ok(frame) = rx.recv().await {
                if events
                    .send(Event::Frame { link: key, frame })
                    .await
                    .is_err()
                {
                    return;
                }
            }
            let _ = events.send(Event::LinkDown { link: key }).await;
        };
        self.around.traffic.spawn(receive).detach();
        self.beat(now, key);
    }

    /// Closes older connections of the same boot of an entry.
    ///
    /// Frames that still arrive on them are ignored, so that a request which
    /// the agent declares unknown on the new connection stays unknown.
    fn close_older(&mut self, now: Instant, entry_boot: BootId) {
        let older: Vec<LinkKey> = self
            .links
            .iter()
            .filter(|(_, link)| link.entry_boot == entry_boot)
            .map(|(key, _)| key)
            .collect();
        for key in older {
            self.on_link_down(now, key);
        }
    }

    pub(super) fn on_link_down(&mut self, now: Instant, key: LinkKey) {
        let Some(link) = self.links.remove(key) else {
            return;
        };
        link.tx.close();
        self.replica.remove_peer(link.peer);
        self.detach_requests(now, key);
    }

    pub(super) fn on_frame(&mut self, now: Instant, key: LinkKey, frame: Frame) {
        let Some(peer) = self.links.get(key).map(|link| link.peer) else {
            return;
        };
        match frame {
            Frame::Ack { request, next } => self.on_ack(now, request, next),
            Frame::Heartbeat(beat) => {
                let held = self.replica.peer(peer).map(|peer| peer.revision);
                let answer = self.replica.on_heartbeat(now, peer, &beat);
                self.send_all(key, answer);
                // The others learn at the next tick how far this entry is.
                self.peers_moved |= self.replica.peer(peer).map(|peer| peer.revision) != held;
                if let Some(link) = self.links.get_mut(key) {
                    link.granter = beat.granter;
                }
                if beat.granter {
                    self.scheduler.budget_mut().on_granter_message(now);
                }
                if beat.echo == 0 {
                    // The entry has just connected; an echo at once makes it fresh.
                    self.beat(now, key);
                }
            }
            Frame::Cancel { request } => self.on_cancel(now, request),
            Frame::Entries { entries } => {
                if self.replica.on_entries(Some(peer), &entries) {
                    self.on_catalogue_moved(now);
                }
            }
            Frame::Grant { adapter, valid_for } => {
                let until = now + valid_for;
                self.scheduler.budget_mut().on_grant(now, adapter, until);
            }
            Frame::Pull { after } => {
                let answer = self.replica.on_pull(after);
                self.send_all(key, answer);
            }
            Frame::Resume {
                request,
                next,
                has_head,
            } => self.on_resume(now, key, request, next, has_head),
            Frame::Snapshot { shard } => {
                if self.replica.on_snapshot_shard(peer, *shard) {
                    self.on_catalogue_moved(now);
                }
            }
            Frame::Submit(submit) => self.on_submit(now, key, *submit),
            Frame::Admit(_)
            | Frame::Admitted { .. }
            | Frame::Challenge(_)
            | Frame::Chunk { .. }
            | Frame::Done { .. }
            | Frame::End { .. }
            | Frame::Failed { .. }
            | Frame::FirstByte { .. }
            | Frame::Head { .. }
            | Frame::Hello(_)
            | Frame::NotRun { .. }
            | Frame::UpstreamConfig(_)
            | Frame::Welcome { .. } => self.on_link_down(now, key),
        }
    }

    pub(super) fn beat_all(&mut self, now: Instant) {
        let keys: Vec<LinkKey> = self.links.keys().collect();
        for key in keys {
            self.beat(now, key);
        }
    }

    /// Tells the granter at once of adapters that it does not know are wanted.
    pub(super) fn tell_granter(&mut self, now: Instant) {
        let pending_loads = self.scheduler.pending_loads(now);
        let wanted: HashSet<AdapterRef> =
            pending_loads.into_iter().map(|want| want.adapter).collect();
        let is_new = !wanted.is_subset(&self.told_wants);
        self.told_wants = wanted;
        if !is_new {
            return;
        }
        let granters = self.links.iter().filter(|(_, link)| link.granter);
        let granters: Vec<LinkKey> = granters.map(|(key, _)| key).collect();
        for key in granters {
            self.beat(now, key);
        }
    }

    fn beat(&mut self, now: Instant, key: LinkKey) {
        let Some(link) = self.links.get_mut(key) else {
            return;
        };
        let Some(beat) = self.replica.next_heartbeat(now, link.peer) else {
            return;
        };
        let report = self.scheduler.report(now);
        let update = report.update_since(link.last_report.as_ref());
        link.last_report = Some(report);
        let mut peers = Vec::new();
        if link.peers_due <= now {
            link.peers_due = now + PEERS_INTERVAL;
            peers = self.replica.peer_states();
        }
        let beat = Heartbeat {
            leaving: self.scheduler.is_leaving(),
            empty: self.scheduler.is_empty(),
            epoch: self.epoch,
            report: Some(update),
            peers,
            ..beat
        };
        self.send_all(key, [Frame::Heartbeat(Box::new(beat))]);
    }

    pub(super) fn send_all(&self, key: LinkKey, frames: impl IntoIterator<Item = Frame>) {
        let Some(link) = self.links.get(key) else {
            return;
        };
        for frame in frames {
            // A closed link is reported by its receiver.
            let _ = link.tx.try_send(frame);
        }
    }

    /// Passes a change of the catalogue on and acts on it.
    pub(super) fn on_catalogue_moved(&mut self, now: Instant) {
        let revision = self.replica.catalogue().revision();
        info!(self.around.log, "catalogue"; "revision" => revision);
        for (peer, frame) in self.replica.updates_for_lagging_peers() {
            let link = self.links.iter().find(|(_, link)| link.peer == peer);
            if let Some((key, _)) = link {
                self.send_all(key, [frame]);
            }
        }
        self.apply_stops(now);
        self.preload_changed();
        self.peers_moved = true;
        self.beat_all(now);
    }

    /// Tells entries of each other's revisions, if any has changed.
    pub(super) fn tell_peers(&mut self, now: Instant) {
        if !self.peers_moved || self.peers_told_until > now {
            return;
        }
        self.peers_moved = false;
        self.peers_told_until = now + PEERS_PAUSE;
        for link in self.links.values_mut() {
            link.peers_due = now;
        }
        self.beat_all(now);
    }

    /// Loads new versions of adapters that are in use here ahead of requests.
    fn preload_changed(&mut self) {
        let catalogue = self.replica.catalogue();
        let in_force = |name: &str| catalogue.resolve(name, None).ok();
        let upstreams = self.scheduler.upstreams();
        let resident = upstreams.flat_map(|(_, upstream)| upstream.residents.keys());
        let changed: Vec<(AdapterRef, Box<str>)> = resident
            .filter_map(|adapter| {
                let spec = in_force(&adapter.name)?;
                let newer = spec.version != adapter.version;
                newer.then(|| (spec.adapter_ref(), spec.base_model.clone()))
            })
            .collect();
        for (adapter, base_model) in changed {
            self.scheduler.preload(adapter, &base_model);
        }
        self.scheduler.retain_preloads(|adapter| {
            in_force(&adapter.name).is_some_and(|spec| spec.version == adapter.version)
        });
    }
}
