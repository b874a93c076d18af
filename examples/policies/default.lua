-- default.lua: a sensible policy for a service with Lookups and Rollouts.
--
-- A policy is a Lua 5.4 text that defines any of three functions; one that is
-- left out means the built-in decision.  docs/POLICIES.md describes every
-- input and result.  Try a change with:  quinceroute policy check FILE
--
-- The text is run anew for each decision, so these locals are constants:
-- nothing can be remembered from one decision to the next.

local LOOKUP_PRIORITY = 10       -- greater runs first
local ROLLOUT_PRIORITY = 0
local EVENT_LEAD_MS = 2000       -- prepare this long before an event starts

local function event_is_near(request)
  return request.event_active
    or (request.event_in_ms >= 0 and request.event_in_ms < EVENT_LEAD_MS)
end

-- admit: called once for each request that asks for an engine.
--   refuse          true or a reason: turn it away now, it does not run
--   retry_after_ms  when it may come back; leave out for the measured time
--   priority        greater is served first, here and on the engine
--   min_version     least weight version that may answer it
--   share           weight of the member's fair share, 1 for everyone alike
function admit(request)
  -- Work that is queued longer than its deadline would be thrown away: better
  -- to say so at once, so that the caller can go elsewhere.
  if request.estimated_wait_ms > request.deadline_ms then
    return { refuse = "wait is longer than the deadline" }
  end

  -- Somebody waits for a Lookup; a trainer can wait a moment for a Rollout,
  -- and around an event it should wait.
  if request.rollout then
    local priority = ROLLOUT_PRIORITY
    if event_is_near(request) then
      priority = priority - 10
    end
    return { priority = priority }
  end

  return { priority = LOOKUP_PRIORITY }
end

-- score: called for each of the few engines that could take the request; the
-- greatest result wins, nil rules the engine out.
function score(request, engine)
  -- A cached prompt saves work, but not as much as an idle engine: a hot
  -- prefix must not make everybody queue on one machine.
  local result = 0.5 * engine.prefix_match - engine.load - engine.queued / engine_capacity(engine)

  if engine.same_zone then
    result = result + 0.1
  end

  -- An engine that failed lately gets less until it has proved itself.
  return result - 0.2 * math.min(engine.recent_failures, 5)
end

function engine_capacity(engine)
  return math.max(engine.capacity, 1)
end

-- on_weights: called for a Rollout that still runs when its engine gets new
-- weights.  "wait": the engine swaps afterwards; "resume": go on under the new
-- weights, as a new segment; "restart": throw the tokens away.
function on_weights(sample)
  if sample.started_version + sample.staleness_bound < sample.trainer_version then
    return "restart" -- the trainer could not take it any more
  end
  if sample.expected_tokens > 0 and sample.generated_tokens >= 0.75 * sample.expected_tokens then
    return "wait"    -- nearly done
  end
  return "resume"
end

-- cases: examples that "policy check" runs; a policy that breaks one of them
-- is not accepted.  Fields left out of a request are those of a plain Lookup.
function cases()
  return {
    { name = "plain Lookup", request = {}, expect = { refuse = false, priority = 10 } },
    { name = "Rollout", request = { rollout = true, kind = "rollout" }, expect = { priority = 0 } },
    {
      name = "Rollout just before an event",
      request = { rollout = true, kind = "rollout", event_in_ms = 500 },
      expect = { priority = -10 },
    },
    {
      name = "too late",
      request = { deadline_ms = 100, estimated_wait_ms = 400 },
      expect = { refuse = true },
    },
  }
end
