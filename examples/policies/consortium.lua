-- consortium.lua: rival publishers share one service and pay for one trainer.
--
-- Aims, in this order: no member is favoured; buyers and sellers who wait for
-- a Listing Lookup go first; the shared trainer idles as little as possible.

local LISTING_PRIORITY = 20  -- a person waits
local RELAY_PRIORITY = 15    -- a member's own system waits
local ROLLOUT_PRIORITY = 5   -- the trainer waits
local RELAY_BACKLOG_MOST = 200

-- Names of members appear nowhere in this file, and the share is always 1:
-- everyone alike, whatever they ask for.
local EQUAL_SHARE = 1

function admit(request)
  if request.estimated_wait_ms > request.deadline_ms then
    return { refuse = "wait is longer than the deadline" }
  end

  if request.rollout then
    -- Rollouts queue instead of being refused: a refused Rollout is asked for
    -- again later, while the trainer waits.
    return { priority = ROLLOUT_PRIORITY, share = EQUAL_SHARE }
  end

  if request.kind == "relay" then
    -- When new listings are released every member's systems fetch at once.
    -- They can come back in a moment; a waiting buyer cannot.
    if request.event_active and request.member_waiting > RELAY_BACKLOG_MOST then
      return { refuse = "release in progress: fetch again shortly" }
    end
    return { priority = RELAY_PRIORITY, share = EQUAL_SHARE }
  end

  return { priority = LISTING_PRIORITY, share = EQUAL_SHARE }
end

function score(request, engine)
  if request.rollout then
    -- Throughput first: spread long samples evenly, so that no engine is left
    -- with the last ones of a step; prefixes matter little.
    return 0.2 * engine.prefix_match - engine.load - 0.3 * math.min(engine.recent_failures, 5)
  end
  -- Releases share long prompt prefixes: use the caches, within reason.
  local result = 0.6 * engine.prefix_match - engine.load - 0.2 * math.min(engine.recent_failures, 5)
  if engine.same_zone then
    result = result + 0.05 -- the zones are half a millisecond apart
  end
  return result
end

-- Trainer idle time first: keep the tokens that are there whenever the trainer
-- can still take them, and never make the engine wait for a long sample.
function on_weights(sample)
  if sample.started_version + sample.staleness_bound < sample.trainer_version then
    return "restart"
  end
  return "resume"
end

function cases()
  local relay = { kind = "relay", event_active = true, member_waiting = 500 }
  return {
    { name = "Listing Lookup", request = { kind = "listing" }, expect = { priority = 20, share = 1 } },
    { name = "Relay Lookup", request = { kind = "relay" }, expect = { priority = 15, share = 1 } },
    { name = "Relay Lookups flood a release", request = relay, expect = { refuse = true } },
    { name = "Rollout", request = { rollout = true, kind = "rollout" }, expect = { priority = 5, share = 1 } },
    { name = "one member", request = { member = "publisher-1" }, expect = { priority = 20, share = 1 } },
    { name = "another member", request = { member = "publisher-2" }, expect = { priority = 20, share = 1 } },
  }
end
