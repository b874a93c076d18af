/*
 * operator-keys.h: what operators keep in the key-value service.
 *
 *   /quince/policy/head          JSON {"proposal":ID,"hash":HEX,"text":PROGRAM,"author":NAME,"comment":TEXT}
 *                                its mod revision is the policy revision; "proposal" is random, one an
 * accept, so that a lost answer is resolved by reading it back /quince/events/NAME          JSON
 * {"name":..,"start_ms":UNIX,"duration_ms":..,"service":..,"expected":..} /quince/drain/ENGINE         JSON
 * {"engine":NAME,"by":NAME}: drained while the key is there /quince/ledger/voters        JSON
 * {"voters":[{"replica_id":"DEC","node":..,"zone":..,"address":..}]} written once, by compare-and-swap on its
 * absence
 */
#pragma once

#define QUINCE_KEY_PREFIX "/quince/"
#define QUINCE_KEY_POLICY_HEAD "/quince/policy/head"
#define QUINCE_KEY_EVENTS "/quince/events/"
#define QUINCE_KEY_DRAIN "/quince/drain/"
#define QUINCE_KEY_LEDGER_VOTERS "/quince/ledger/voters"
