//! Checks the rows of an inventory and puts them together.

use super::rows::{Row, Rows, KINDS};
use super::{Inventory, InventoryError, Node, Slice, Team};
use crate::interface::Budget;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Window of a team's attempts where none is given (seconds).
const DEFAULT_WINDOW_S: f64 = 10.0;

/// The inventory that the rows come to, or the first fault in it.
pub(super) fn check(rows: &Rows) -> Result<Inventory, InventoryError> {
    for kind in KINDS {
        let rows = rows_of(rows, kind.name);
        if kind.is_required && rows.is_empty() {
            return Err(InventoryError::Empty { kind: kind.name });
        }
        check_names(rows)?;
    }
    let mut inventory = Inventory {
        zones: names(rows_of(rows, "zones"))?,
        cells: names(rows_of(rows, "cells"))?,
        ..Inventory::default()
    };
    for row in rows_of(rows, "slices") {
        inventory.slices.push(slice(row)?);
    }
    let mut addresses = BTreeSet::new();
    for row in rows_of(rows, "nodes") {
        let node = node(row, &inventory)?;
        if !addresses.insert(node.address) {
            return Err(row.error("address", format!("{} is there twice", node.address)));
        }
        inventory.nodes.push(node);
    }
    for row in rows_of(rows, "teams") {
        inventory.teams.push(team(row)?);
    }
    Ok(inventory)
}

fn rows_of<'a>(rows: &'a Rows, kind: &str) -> &'a [Row] {
    rows.get(kind).map_or(&[], Vec::as_slice)
}

fn check_names(rows: &[Row]) -> Result<(), InventoryError> {
    let mut names_before = BTreeSet::new();
    for row in rows {
        let name = row.text("name")?;
        if !names_before.insert(name) {
            return Err(row.error("name", format!("{name:?} is there twice")));
        }
    }
    Ok(())
}

fn names(rows: &[Row]) -> Result<Vec<String>, InventoryError> {
    rows.iter()
        .map(|row| Ok(row.text("name")?.into()))
        .collect()
}

fn slice(row: &Row) -> Result<Slice, InventoryError> {
    let bounds = [
        row.degrees("west", 180.0)?,
        row.degrees("south", 90.0)?,
        row.degrees("east", 180.0)?,
        row.degrees("north", 90.0)?,
    ];
    if bounds[0] >= bounds[2] {
        return Err(row.error("east", "is not east of west"));
    }
    if bounds[1] >= bounds[3] {
        return Err(row.error("north", "is not north of south"));
    }
    Ok(Slice {
        name: row.text("name")?.into(),
        bounds,
    })
}

fn node(row: &Row, inventory: &Inventory) -> Result<Node, InventoryError> {
    let (cell, zone) = (row.text("cell")?, row.text("zone")?);
    let number = inventory.cells.iter().position(|c| c == cell);
    let number = number.ok_or_else(|| row.error("cell", format!("there is no cell {cell:?}")))?;
    if !inventory.zones.iter().any(|z| z == zone) {
        return Err(row.error("zone", format!("there is no zone {zone:?}")));
    }
    let address = row.text("address")?;
    let address: SocketAddr = address.parse().map_err(|_| {
        let reason = format!("{address:?} is no address of the form IP:PORT");
        row.error("address", reason)
    })?;
    Ok(Node {
        name: row.text("name")?.into(),
        address,
        cell: number as u32,
        zone: zone.into(),
    })
}

fn team(row: &Row) -> Result<Team, InventoryError> {
    let classes = row.optional("classes").unwrap_or_default();
    let classes = classes.split('|').map(str::trim).filter(|c| !c.is_empty());
    let rate = row.amount("rate")?;
    if rate == Some(0.0) {
        return Err(row.error("rate", "must be above zero; leave it out for no limit"));
    }
    Ok(Team {
        name: row.text("name")?.into(),
        classes: classes.map(Into::into).collect(),
        rate,
        budget: budget(row)?,
    })
}

/// The team's budget of attempts, where it has one.
fn budget(row: &Row) -> Result<Option<Budget>, InventoryError> {
    let (least, share) = (row.amount("attempts_least")?, row.amount("attempts_share")?);
    let window = row.amount("attempts_window_s")?;
    if least.is_none() && share.is_none() {
        return match window {
            Some(_) => Err(row.error("attempts_window_s", "there is no budget for it")),
            None => Ok(None),
        };
    }
    Ok(Some(Budget {
        window: (window.unwrap_or(DEFAULT_WINDOW_S) * 1e6) as u64,
        min_retries: least.unwrap_or(0.0),
        share: share.unwrap_or(0.0),
    }))
}
