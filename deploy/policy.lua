-- The policy in force until operators accept another one.
--
-- A lookup goes to the least loaded worker, near ones first; a sample to the least loaded one too, but stays with
-- its group while that worker keeps the group's prompt.  The longer a sample still takes, the more a slow worker
-- costs: a second lost to its pace counts as much as a load of a quarter of its slots.

local ZONE_BONUS = 0.1
local PROMPT_BONUS = 0.15
local FAILURE_COST = 0.2
local COST_OF_A_SECOND = 0.25

function score(request, engine)
  local result = PROMPT_BONUS * engine.prefix_match - engine.load - FAILURE_COST * math.min(engine.recent_failures, 5)
  if engine.slowness > 1 then
    result = result - COST_OF_A_SECOND * (engine.slowness - 1) * request.remaining_ms / 1000
  end
  if engine.same_zone then
    result = result + ZONE_BONUS
  end
  return result
end
