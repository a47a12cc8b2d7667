//! Connections of entries: heartbeats, replication of the catalogue and dispatch of
//! received frames.

use crate::control::Control;
use crate::control::ControlEvent;
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

/// Maximum interval between two reports of peer states to an entry. Well below the
/// time after which an entry that is not reported no longer counts as live.
const PEER_STATES_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum interval between two reports of peer states to an entry.
const MIN_PEER_STATES_INTERVAL: Duration = Duration::from_millis(100);

/// Connection of one entry.
pub(super) struct LinkState {
    pub(super) entry_boot: BootId,
    pub(super) peer_key: PeerKey,
    pub(super) tx: Sender<Frame>,
    /// Whether the entry is the granter, which permits adapter loads.
    pub(super) is_granter: bool,
    last_sent_report: Option<Report>,
    next_peer_states_at: Instant,
}

impl Control {
    pub(super) fn on_entry_connected(&mut self, now: Instant, link: Link) {
        let Link { peer, tx, rx } = link;
        info!(self.context.log, "entry connected"; "entry" => %peer.node);
        self.close_earlier_links(now, peer.boot);
        let entry_boot = peer.boot;
        let peer_key = self.replica.add_peer(peer);
        let key = self.links.insert(LinkState {
            entry_boot,
            peer_key,
            tx,
            is_granter: false,
            last_sent_report: None,
            next_peer_states_at: now,
        });
        let events_tx = self.context.events_tx.clone();
        let receive = async move {
            while let Ok(frame) = rx.recv().await {
                if events_tx
                    .send(ControlEvent::Frame { link: key, frame })
                    .await
                    .is_err()
                {
                    return;
                }
            }
            let _ = events_tx
                .send(ControlEvent::EntryDisconnected { link: key })
                .await;
        };
        self.context.traffic.spawn(receive).detach();
        self.send_heartbeat(now, key);
    }

    /// Closes earlier connections of the same boot of an entry.
    ///
    /// Frames that still arrive on them are ignored. A request that the agent reports
    /// as not run on the new connection can therefore not arrive and run later.
    fn close_earlier_links(&mut self, now: Instant, entry_boot: BootId) {
        let earlier_links: Vec<LinkKey> = self
            .links
            .iter()
            .filter(|(_, link)| link.entry_boot == entry_boot)
            .map(|(key, _)| key)
            .collect();
        for key in earlier_links {
            self.on_entry_disconnected(now, key);
        }
    }

    pub(super) fn on_entry_disconnected(&mut self, now: Instant, key: LinkKey) {
        let Some(link) = self.links.remove(key) else {
            return;
        };
        link.tx.close();
        self.replica.remove_peer(link.peer_key);
        self.detach_requests(now, key);
    }

    pub(super) fn on_frame(&mut self, now: Instant, key: LinkKey, frame: Frame) {
        let Some(peer_key) = self.links.get(key).map(|link| link.peer_key) else {
            return;
        };
        match frame {
            Frame::Ack { request, next } => self.on_ack(now, request, next),
            Frame::Heartbeat(heartbeat) => {
                let previous_revision = self.replica.peer(peer_key).map(|peer| peer.revision);
                let reply = self.replica.on_heartbeat(now, peer_key, &heartbeat);
                self.send_frames(key, reply);
                // The next tick reports the new revision of this entry to the other entries.
                self.peer_states_changed |=
                    self.replica.peer(peer_key).map(|peer| peer.revision) != previous_revision;
                if let Some(link) = self.links.get_mut(key) {
                    link.is_granter = heartbeat.granter;
                }
                if heartbeat.granter {
                    self.scheduler.budget_mut().on_granter_message(now);
                }
                if heartbeat.echo == 0 {
                    // Echo 0 means that the entry has received no heartbeat on this connection yet.
                    // Echoing its first heartbeat at once makes its catalogue fresh.
                    self.send_heartbeat(now, key);
                }
            }
            Frame::Cancel { request } => self.on_cancel(now, request),
            Frame::Entries { entries } => {
                if self.replica.on_entries(Some(peer_key), &entries) {
                    self.on_catalogue_changed(now);
                }
            }
            Frame::Grant { adapter, valid_for } => {
                let until = now + valid_for;
                self.scheduler.budget_mut().on_grant(now, adapter, until);
            }
            Frame::Pull { after } => {
                let reply = self.replica.on_pull(after);
                self.send_frames(key, reply);
            }
            Frame::Resume {
                request,
                next,
                has_head,
            } => self.on_resume(now, key, request, next, has_head),
            Frame::Snapshot { shard } => {
                if self.replica.on_snapshot_shard(peer_key, *shard) {
                    self.on_catalogue_changed(now);
                }
            }
            Frame::Submit(submit) => self.on_submit(now, key, *submit),
            // Frames that entries must not send to this agent; the connection is closed.
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
            | Frame::Load(_)
            | Frame::NotRun { .. }
            | Frame::QuotaGrant(_)
            | Frame::QuotaRequest(_)
            | Frame::UpstreamConfig(_)
            | Frame::Welcome { .. } => self.on_entry_disconnected(now, key),
        }
    }

    pub(super) fn send_all_heartbeats(&mut self, now: Instant) {
        let keys: Vec<LinkKey> = self.links.keys().collect();
        for key in keys {
            self.send_heartbeat(now, key);
        }
    }

    /// Sends a heartbeat to the granters at once when the scheduler wants to load an
    /// adapter that it did not want at the previous call.
    pub(super) fn notify_granters(&mut self, now: Instant) {
        let pending_loads = self.scheduler.pending_loads(now);
        let wanted_loads: HashSet<AdapterRef> = pending_loads
            .into_iter()
            .map(|pending_load| pending_load.adapter)
            .collect();
        let has_new_load = !wanted_loads.is_subset(&self.announced_loads);
        self.announced_loads = wanted_loads;
        if !has_new_load {
            return;
        }
        let granters = self.links.iter().filter(|(_, link)| link.is_granter);
        let granters: Vec<LinkKey> = granters.map(|(key, _)| key).collect();
        for key in granters {
            self.send_heartbeat(now, key);
        }
    }

    fn send_heartbeat(&mut self, now: Instant, key: LinkKey) {
        let Some(link) = self.links.get_mut(key) else {
            return;
        };
        let Some(heartbeat) = self.replica.next_heartbeat(now, link.peer_key) else {
            return;
        };
        let report = self.scheduler.report(now);
        let report_update = report.update_since(link.last_sent_report.as_ref());
        link.last_sent_report = Some(report);
        let mut peers = Vec::new();
        if link.next_peer_states_at <= now {
            link.next_peer_states_at = now + PEER_STATES_INTERVAL;
            peers = self.replica.peer_states();
        }
        let heartbeat = Heartbeat {
            leaving: self.scheduler.is_leaving(),
            idle: self.scheduler.is_empty(),
            epoch: self.epoch,
            report: Some(report_update),
            peers,
            ..heartbeat
        };
        self.send_frames(key, [Frame::Heartbeat(Box::new(heartbeat))]);
    }

    pub(super) fn send_frames(&self, key: LinkKey, frames: impl IntoIterator<Item = Frame>) {
        let Some(link) = self.links.get(key) else {
            return;
        };
        for frame in frames {
            // The receiving task reports a closed link.
            let _ = link.tx.try_send(frame);
        }
    }

    /// Forwards a changed catalogue to lagging peers and applies it to the scheduler.
    pub(super) fn on_catalogue_changed(&mut self, now: Instant) {
        let revision = self.replica.catalogue().revision();
        info!(self.context.log, "catalogue"; "revision" => revision);
        for (peer_key, frame) in self.replica.updates_for_lagging_peers() {
            let link = self
                .links
                .iter()
                .find(|(_, link)| link.peer_key == peer_key);
            if let Some((key, _)) = link {
                self.send_frames(key, [frame]);
            }
        }
        self.apply_planned_stops(now);
        self.preload_active_versions();
        self.peer_states_changed = true;
        self.send_all_heartbeats(now);
    }

    /// Reports the peer states to all entries if one has changed, at most once per
    /// [`MIN_PEER_STATES_INTERVAL`].
    pub(super) fn send_peer_states(&mut self, now: Instant) {
        if !self.peer_states_changed || self.next_peer_update_at > now {
            return;
        }
        self.peer_states_changed = false;
        self.next_peer_update_at = now + MIN_PEER_STATES_INTERVAL;
        for link in self.links.values_mut() {
            link.next_peer_states_at = now;
        }
        self.send_all_heartbeats(now);
    }

    /// Preloads the active versions of adapters that are resident in another version.
    fn preload_active_versions(&mut self) {
        let catalogue = self.replica.catalogue();
        let active_spec = |name: &str| catalogue.resolve(name, None).ok();
        let upstreams = self.scheduler.upstreams();
        let resident = upstreams.flat_map(|(_, upstream)| upstream.residents.keys());
        let active_versions: Vec<(AdapterRef, Box<str>)> = resident
            .filter_map(|adapter| {
                let spec = active_spec(&adapter.name)?;
                let is_other_version = spec.version != adapter.version;
                is_other_version.then(|| (spec.adapter_ref(), spec.base_model.clone()))
            })
            .collect();
        for (adapter, base_model) in active_versions {
            self.scheduler.preload(adapter, &base_model);
        }
        self.scheduler.retain_preloads(|adapter| {
            active_spec(&adapter.name).is_some_and(|spec| spec.version == adapter.version)
        });
    }
}
