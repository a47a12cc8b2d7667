//! Applies the records of the platform's store: configuration, declared
//! versions and the list of upstreams.

use crate::control::Control;
use crate::platform::DecodedRecord;
use crate::platform::RecordDecoder;
use crate::watch::Topic;
use dogwoodshunt_border::kv::KeyChange;
use dogwoodshunt_border::kv::Listing;
use dogwoodshunt_border::kv::Record;
use dogwoodshunt_serving::Config;
use dogwoodshunt_serving::config::RouteTable;
use dogwoodshunt_serving::registry::ListedUpstream;
use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::StoreEra;
use dogwoodshunt_types::invariant;
use dogwoodshunt_types::invariant::Invariant;
use slog::info;
use slog::warn;
use std::time::Instant;

impl<D: RecordDecoder> Control<D> {
    pub(super) fn on_store_listed(&mut self, now: Instant, topic: Topic, listing: &Listing) {
        let era = listing.position.era;
        self.on_store_era(era);
        match topic {
            Topic::Operator => {
                for record in &listing.records {
                    self.on_operator_record(record);
                }
                self.send_new_versions();
            }
            Topic::Upstreams => {
                let records = listing.records.iter();
                let listed = records.filter_map(|record| self.decode_upstream(record));
                let listed: Vec<ListedUpstream> = listed.collect();
                info!(self.context.log, "upstreams listed"; "count" => listed.len(),
                    "revision" => listing.position.revision, "era" => era);
                self.registry.on_full_list(now, era, listed);
                self.context.shared_state.set_upstreams_known();
            }
        }
        self.sync_upstreams(now);
    }

    /// Notes the era of a listing. Agents verify after a restore that they still own their
    /// engines.
    fn on_store_era(&mut self, era: StoreEra) {
        if era > self.store_era {
            self.store_era = era;
            self.send_upstream_config_to_all();
        }
    }

    pub(super) fn on_store_changed(&mut self, now: Instant, topic: Topic, changes: Vec<KeyChange>) {
        for change in changes {
            match (topic, change) {
                (Topic::Operator, KeyChange::Put(record)) => self.on_operator_record(&record),
                // Operators change a record by replacing it; a deletion is no
                // change, so the content of the record stays in force.
                (Topic::Operator, KeyChange::Deleted { key, revision }) => {
                    info!(self.context.log, "operator record deleted, its content stays in force";
                        "key" => %key, "revision" => revision);
                }
                (Topic::Upstreams, KeyChange::Put(record)) => {
                    if let Some(listed) = self.decode_upstream(&record) {
                        self.registry.on_upstream_listed(listed);
                    }
                }
                (Topic::Upstreams, KeyChange::Deleted { key, revision }) => {
                    let name = self.decoder.upstream_name(&key);
                    info!(self.context.log, "upstream gone"; "upstream" => %name,
                        "revision" => revision);
                    self.registry.on_upstream_removed(now, &name);
                }
            }
        }
        self.send_new_versions();
        self.sync_upstreams(now);
    }

    fn on_operator_record(&mut self, record: &Record) {
        match self.decoder.decode(record) {
            DecodedRecord::Config(config) => self.on_config(record.era, *config),
            DecodedRecord::Version(declared) => self.on_version_declared(declared),
            DecodedRecord::Unreadable(reason) => {
                warn!(self.context.log, "record not read"; "key" => %record.key, "why" => %reason);
            }
            DecodedRecord::Upstream(_) => {
                warn!(self.context.log, "upstream record under the operators' prefix ignored";
                    "key" => %record.key);
            }
        }
    }

    /// Puts a configuration in force if its revision is newer than that of the
    /// configuration in force.
    ///
    /// A restored store lists an older configuration until operators have written the newest one
    /// again; the newest one stays in force meanwhile. If a restore discarded a configuration,
    /// another one may be written under the same revision.
    fn on_config(&mut self, era: StoreEra, config: Config) {
        let route_table = self.context.shared_state.routes();
        let current = route_table.as_ref().map(|route_table| route_table.config());
        let current_revision = current.map_or(0, |current| current.revision);
        let replaces_discarded = era > self.config_era && current != Some(&config);
        if config.revision < current_revision
            || (config.revision == current_revision && !replaces_discarded)
        {
            let currency = &self.context.shared_state.currency;
            currency.on_config_read(era, config.revision);
            return;
        }
        self.config_era = era;
        info!(self.context.log, "config in force"; "revision" => config.revision,
            "before" => current_revision, "routes" => config.routes.len());
        let is_newer = invariant::check(
            Invariant::RevisionNeverReverts,
            config.revision > current_revision || replaces_discarded,
            &format_args!("{} after {current_revision}", config.revision),
        );
        if is_newer {
            self.log_key_changes(current, &config);
            let read_revision = config.revision;
            let revision = i64::try_from(config.revision).unwrap_or(i64::MAX);
            self.context.metrics.config_revision.set(revision);
            self.quotas.set_config(&config);
            self.context
                .shared_state
                .set_routes(RouteTable::new(config));
            let currency = &self.context.shared_state.currency;
            currency.on_config_read(era, read_revision);
            self.send_upstream_config_to_all();
        }
    }

    /// Applies a declared version unless a newer one of the adapter is known.
    ///
    /// Versions are compared with each other and not by the revisions of their records: a
    /// restored store lists an older version at a later position.
    fn on_version_declared(&mut self, declared: AdapterRef) {
        let current = self.declared_versions.get(&declared.name);
        if current.is_some_and(|current| !declared.replaces(current)) {
            return;
        }
        info!(self.context.log, "version declared"; "adapter" => %declared);
        self.new_versions.push(declared.clone());
        self.declared_versions
            .insert(declared.name.clone(), declared);
    }

    fn decode_upstream(&self, record: &Record) -> Option<ListedUpstream> {
        match self.decoder.decode(record) {
            DecodedRecord::Upstream(listed) => Some(listed),
            DecodedRecord::Unreadable(reason) => {
                // The remaining records of the list still apply.
                warn!(self.context.log, "record not read"; "key" => %record.key, "why" => %reason);
                None
            }
            DecodedRecord::Config(_) | DecodedRecord::Version(_) => None,
        }
    }

    /// Updates the pools and the agents to match the list of upstreams.
    pub(super) fn sync_upstreams(&mut self, now: Instant) {
        let Some(route_table) = self.context.shared_state.routes() else {
            return;
        };
        let listed: Vec<ListedUpstream> = self.registry.upstreams().cloned().collect();
        let config = route_table.config();
        let is_engine = |listed: &&ListedUpstream| {
            let service = config.service(&listed.service);
            service.is_some_and(|service| service.engine.is_some())
        };
        self.sync_agents(now, listed.iter().filter(is_engine));
        let plain_services = config.services.iter().filter(|s| s.engine.is_none());
        for service in plain_services {
            let of_service = || listed.iter().filter(|l| l.service == service.name);
            let pool = self.pools.entry(service.name.clone()).or_default();
            for upstream in of_service() {
                pool.upsert(upstream, self.pauses.end(upstream));
                let limit = self.rate_limits.limit(&upstream.name, upstream.started);
                pool.set_rate_limit(&upstream.name, upstream.started, limit);
            }
            let is_listed = |name: &str| of_service().any(|l| *l.name == *name);
            pool.retain(is_listed);
        }
    }
}
