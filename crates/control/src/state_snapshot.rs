//! Snapshots of the replicated state and their digest.
//!
//! Guarantees: members that applied the same commands produce identical bytes,
//! because every map is encoded in key order. Decoding and re-encoding a
//! snapshot yields the same bytes.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use mulberrywell_directory::digest_key;
use mulberrywell_serving::{OriginTable, ServiceVersion};
use mulberrywell_wire::command::{
    self as wire, OperatorRecord, StateSnapshot, StreamRecord, WishRecord,
};
use mulberrywell_wire::serving::{PutSoftware, StreamOrigin};
use prost::{DecodeError, Message};

use crate::audit_trail::AuditTrail;
use crate::change_history::ChangeHistory;
use crate::claim_table::ClaimTable;
use crate::cluster_state::{ClusterState, EndpointRecord};
use crate::dedup_table::DedupTable;
use crate::ended_endpoints::EndedEndpoints;
use crate::endpoint_chart::EndpointChart;
use crate::evacuation_table::EvacuationTable;

impl ClusterState {
    /// Encodes the entire state.
    pub fn encode_snapshot(&self) -> Bytes {
        let snapshot = StateSnapshot {
            cluster: self.cluster,
            applied: self.applied,
            version: self.version,
            list_version: self.list_version,
            list_author: self.list_author.clone(),
            plan_text: self.plan_text.clone(),
            grant_text: self.grant_text.clone(),
            plans: self.plans.values().cloned().collect(),
            accounts: self.accounts.values().cloned().collect(),
            models: self.models.values().cloned().collect(),
            services: self.services.values().cloned().collect(),
            grants: self.grants.values().cloned().collect(),
            keys: self.keys.values().cloned().collect(),
            operators: operator_records(&self.operators),
            endpoints: self.endpoints.values().map(endpoint_record).collect(),
            fencing: self.fencing,
            audit: self.audit.to_records(),
            results: self.requests.to_records(),
            claims: self.claims.to_records(),
            clock_ms: self.clock_ms,
            members: self.members.values().cloned().collect(),
            wishes: wish_records(&self.wishes),
            serving: self.serving.clone(),
            streams: stream_records(&self.streams),
            software: software_records(&self.software),
            evacuations: self.evacuations.to_records(),
            ended: self.ended.to_records(),
        };
        Bytes::from(snapshot.encode_to_vec())
    }

    /// Decodes a state.
    ///
    /// # Errors
    /// Fails if the bytes are not a valid snapshot.
    pub fn decode_snapshot(data: Bytes, chart: EndpointChart) -> Result<Self, DecodeError> {
        let snapshot = StateSnapshot::decode(data)?;
        let records = snapshot.endpoints.into_iter().map(|record| EndpointRecord {
            item: record.item.unwrap_or_default(),
            memory_mib: record.memory_mib,
            slots: record.slots,
            accelerators: record.accelerators,
        });
        Ok(ClusterState {
            cluster: snapshot.cluster,
            applied: snapshot.applied,
            version: snapshot.version,
            list_version: snapshot.list_version,
            list_author: snapshot.list_author,
            plan_text: snapshot.plan_text,
            grant_text: snapshot.grant_text,
            plans: keyed(snapshot.plans, |item| item.name.clone()),
            accounts: keyed(snapshot.accounts, |item| item.name.clone()),
            models: keyed(snapshot.models, |item| item.name.clone()),
            services: keyed(snapshot.services, |item| item.name.clone()),
            grants: keyed(snapshot.grants, |item| item.plan.clone()),
            keys: keyed(snapshot.keys, |item| item.digest.clone()),
            operators: snapshot
                .operators
                .into_iter()
                .map(|record| (record.name, record.digest))
                .collect(),
            endpoints: keyed(records.collect(), |record| record.item.name.clone()),
            fencing: snapshot.fencing,
            members: keyed(snapshot.members, |item| item.id),
            wishes: snapshot
                .wishes
                .into_iter()
                .map(|record| (record.name, record.allowed))
                .collect(),
            serving: snapshot.serving,
            streams: restored_streams(snapshot.streams),
            software: snapshot
                .software
                .into_iter()
                .map(|record| (record.service, record.versions.into_iter().collect()))
                .collect(),
            evacuations: EvacuationTable::from_records(snapshot.evacuations),
            ended: EndedEndpoints::from_records(snapshot.ended),
            claims: ClaimTable::from_records(snapshot.claims),
            audit: AuditTrail::from_records(snapshot.audit),
            requests: DedupTable::from_records(snapshot.results),
            clock_ms: snapshot.clock_ms,
            history: ChangeHistory::new(snapshot.version),
            chart,
            changed: Vec::new(),
        })
    }

    /// Returns the SHA-256 of the snapshot, which is equal on members that
    /// applied the same commands.
    pub fn digest(&self) -> Bytes {
        digest_key(&self.encode_snapshot())
    }
}

fn keyed<K: Ord, T>(items: Vec<T>, key: impl Fn(&T) -> K) -> BTreeMap<K, T> {
    items.into_iter().map(|item| (key(&item), item)).collect()
}

fn operator_records(operators: &BTreeMap<Bytes, Bytes>) -> Vec<OperatorRecord> {
    let records = operators.iter().map(|(name, digest)| OperatorRecord {
        name: name.clone(),
        digest: digest.clone(),
    });
    records.collect()
}

fn wish_records(wishes: &BTreeMap<Bytes, bool>) -> Vec<WishRecord> {
    let records = wishes.iter().map(|(name, allowed)| WishRecord {
        name: name.clone(),
        allowed: *allowed,
    });
    records.collect()
}

/// An origin without a service stands for a stream with two origins.
fn stream_records(streams: &OriginTable<u64>) -> Vec<StreamRecord> {
    let records = streams.iter().map(|(stream, origin, expires_ms)| {
        let origin = origin.map_or_else(StreamOrigin::default, |origin| StreamOrigin {
            service: origin.service.clone(),
            software: origin.software.clone(),
            ..StreamOrigin::default()
        });
        StreamRecord {
            origin: Some(StreamOrigin { stream, ..origin }),
            expires_ms,
        }
    });
    records.collect()
}

fn restored_streams(records: Vec<StreamRecord>) -> OriginTable<u64> {
    let mut streams = OriginTable::default();
    for record in records {
        let item = record.origin.unwrap_or_default();
        let origin = (!item.service.is_empty()).then(|| ServiceVersion {
            service: Bytes::copy_from_slice(&item.service),
            software: Bytes::copy_from_slice(&item.software),
        });
        streams.restore(item.stream, origin, record.expires_ms);
    }
    streams
}

fn software_records(software: &BTreeMap<Bytes, BTreeSet<Bytes>>) -> Vec<PutSoftware> {
    let records = software.iter().map(|(service, versions)| PutSoftware {
        service: service.clone(),
        versions: versions.iter().cloned().collect(),
    });
    records.collect()
}

fn endpoint_record(record: &EndpointRecord) -> wire::EndpointRecord {
    wire::EndpointRecord {
        item: Some(record.item.clone()),
        memory_mib: record.memory_mib,
        slots: record.slots,
        accelerators: record.accelerators,
    }
}
