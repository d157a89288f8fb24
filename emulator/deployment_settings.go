package emulator

import "time"

// hopLatency is the one-way latency between data centres. The settings have one
// latency per endpoint for all callers, so that the latency between regions is
// not simulated.
const hopLatency = time.Millisecond

// Settings returns the settings document for running the deployment's fakes as
// a separate process. The function address returns the address of an endpoint
// by its name.
func (d *Deployment) Settings(control, platform string, address func(endpoint string) string) *Document {
	doc := &Document{
		Control: control,
		Platform: PlatformDocument{
			Address:             platform,
			LatencyMS:           inMilliseconds(hopLatency),
			ReadsPerSecond:      readsPerSecond,
			WritesPerSecond:     writesPerSecond,
			HostListLagMS:       inMilliseconds(hostListLag),
			StoreLoadsPerSecond: d.plan.loadRate,
			StoreLoadMS:         inMilliseconds(defaultLoadTime),
			StoreLoadsInFlight:  defaultLoadsFullSpeed,
		},
	}
	for _, e := range d.endpoints {
		if e.engine == nil {
			doc.Services = append(doc.Services, ServiceDocument{
				Name:          e.name,
				Address:       address(e.name),
				LatencyMS:     inMilliseconds(hopLatency),
				DurationMS:    inMilliseconds(serviceTime),
				ChecksFencing: e.fencing,
			})
			continue
		}
		doc.Engines = append(doc.Engines, EngineDocument{
			Name:              e.name,
			Address:           address(e.name),
			Base:              d.plan.base,
			Slots:             d.settings.slots,
			Batch:             d.settings.batch,
			LatencyMS:         inMilliseconds(hopLatency),
			CacheEventDelayMS: inMilliseconds(cacheEventLag),
			CacheEventGaps:    cacheEventGaps,
			ReportLagMS:       inMilliseconds(reportLag),
			ChecksFencing:     e.fencing,
		})
	}
	return doc
}

func inMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
